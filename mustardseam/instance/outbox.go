package instance

import (
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

const (
	// outboxDelay collects outcomes for one message.
	outboxDelay = 10 * time.Millisecond
	// outboxRetry is the wait before outcomes go out again when no home took them.
	outboxRetry = 100 * time.Millisecond
	// outboxKeep is how long an outcome is offered; a takeover takes far less.
	outboxKeep = 30 * time.Second
)

// outbox holds the outcomes and withdrawals that the home has not yet taken.
type outbox struct {
	wake chan struct{}

	mu       sync.Mutex
	outcomes []outgoing // Guarded by mu.
	withdraw []string   // Guarded by mu.
}

// outgoing is an outcome and the time at which it was reported.
type outgoing struct {
	at      time.Time
	outcome pool.Outcome
}

// report hands an outcome to the pool's home.
func (i *Instance) report(name string, o pool.Outcome) {
	h := (*i.homes.Load())[name]
	if h == nil {
		return
	}
	h.outbox.mu.Lock()
	h.outbox.outcomes = append(h.outbox.outcomes, outgoing{i.cfg.Now(), o})
	h.outbox.mu.Unlock()
	h.nudge()
}

// withdraw tells the pool's home that an ask is no longer wanted and will not be started.
func (h *home) withdraw(id string) {
	h.outbox.mu.Lock()
	h.outbox.withdraw = append(h.outbox.withdraw, id)
	h.outbox.mu.Unlock()
	h.nudge()
}

func (h *home) nudge() {
	select {
	case h.outbox.wake <- struct{}{}:
	default:
	}
}

// flush sends what is in the outbox until the instance or the pool ends.
func (h *home) flush() {
	for {
		select {
		case <-h.inst.ctx.Done():
			return
		case <-h.stopped:
			return
		case <-h.outbox.wake:
		}
		h.inst.sleep(outboxDelay)
		for !h.sendOutbox() {
			if !h.inst.sleep(outboxRetry) {
				return
			}
		}
	}
}

// sendOutbox sends one message and reports whether the outbox was emptied or was empty.
func (h *home) sendOutbox() bool {
	now := h.inst.cfg.Now()
	h.outbox.mu.Lock()
	list, withdraw := h.outbox.outcomes, h.outbox.withdraw
	h.outbox.outcomes, h.outbox.withdraw = nil, nil
	h.outbox.mu.Unlock()
	r := peer.DoneRequest{
		Proto: peer.Current(), Pool: h.name, From: h.inst.cfg.Incarnation, Address: h.inst.PeerAddress(), Withdraw: withdraw,
	}
	kept := list[:0]
	for _, o := range list {
		if now.Sub(o.at) > outboxKeep {
			event.OutcomeUnreported.Log(&h.inst.log).Str("request", o.outcome.Ask).Send()
			continue
		}
		kept = append(kept, o)
		r.Outcomes = append(r.Outcomes, o.outcome)
	}
	if len(r.Outcomes)+len(withdraw) == 0 || h.deliverDone(r) {
		return true
	}
	h.outbox.mu.Lock()
	defer h.outbox.mu.Unlock()
	h.outbox.outcomes = append(kept, h.outbox.outcomes...)
	// Withdrawals alone are not repeated, because an ask that is no longer polled lapses at the home.
	if len(kept) > 0 {
		h.outbox.withdraw = append(withdraw, h.outbox.withdraw...)
	}
	return false
}

// deliverDone sends the message to the home and reports whether the home took it.
func (h *home) deliverDone(r peer.DoneRequest) bool {
	addr, self, ok := h.target(h.inst.cfg.Now())
	if self {
		return h.done(r)
	}
	if !ok {
		return false
	}
	ack, err := h.inst.peers.Done(addr, r)
	return err == nil && !ack.NotHome
}
