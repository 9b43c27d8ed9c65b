package instance

import (
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

const (
	// outboxDelay is the delay before a message is sent, so that it carries several outcomes.
	outboxDelay = 10 * time.Millisecond
	// outboxRetryDelay is the delay before outcomes are sent again when no home accepted them.
	outboxRetryDelay = 100 * time.Millisecond
	// outboxMaxAge is the age at which an unsent outcome is dropped. A takeover takes far less time.
	outboxMaxAge = 30 * time.Second
)

// outbox holds the outcomes and withdrawals that the home has not yet accepted.
type outbox struct {
	pending chan struct{}

	mu       sync.Mutex
	outcomes []queuedOutcome // Guarded by mu.
	withdraw []string        // Guarded by mu.
}

// queuedOutcome is an outcome and the time at which it was reported.
type queuedOutcome struct {
	at      time.Time
	outcome pool.Outcome
}

// report queues an outcome for the home of the named pool.
func (i *Instance) report(name string, o pool.Outcome) {
	h := (*i.homes.Load())[name]
	if h == nil {
		return
	}
	h.outbox.mu.Lock()
	h.outbox.outcomes = append(h.outbox.outcomes, queuedOutcome{i.cfg.Now(), o})
	h.outbox.mu.Unlock()
	h.wakeOutbox()
}

// withdraw queues the withdrawal of an ask that is no longer wanted and will not be started.
func (h *home) withdraw(id string) {
	h.outbox.mu.Lock()
	h.outbox.withdraw = append(h.outbox.withdraw, id)
	h.outbox.mu.Unlock()
	h.wakeOutbox()
}

func (h *home) wakeOutbox() {
	select {
	case h.outbox.pending <- struct{}{}:
	default:
	}
}

// flushOutbox sends the contents of the outbox to the home until the instance stops or the pool is removed.
func (h *home) flushOutbox() {
	for {
		select {
		case <-h.inst.ctx.Done():
			return
		case <-h.stopped:
			return
		case <-h.outbox.pending:
		}
		h.inst.sleep(outboxDelay)
		for !h.sendOutbox() {
			if !h.inst.sleep(outboxRetryDelay) {
				return
			}
		}
	}
}

// sendOutbox sends the contents of the outbox in one message. It returns false if no home accepted the message, whose
// outcomes then return to the outbox.
func (h *home) sendOutbox() bool {
	now := h.inst.cfg.Now()
	h.outbox.mu.Lock()
	list, withdraw := h.outbox.outcomes, h.outbox.withdraw
	h.outbox.outcomes, h.outbox.withdraw = nil, nil
	h.outbox.mu.Unlock()
	r := peer.OutcomesRequest{
		Proto: peer.CurrentProto(), Pool: h.name, From: h.inst.cfg.Incarnation, Address: h.inst.PeerAddress(), Withdraw: withdraw,
	}
	kept := list[:0]
	for _, o := range list {
		if now.Sub(o.at) > outboxMaxAge {
			event.OutcomeUnreported.Log(&h.inst.log).Str("request", o.outcome.AskID).Send()
			continue
		}
		kept = append(kept, o)
		r.Outcomes = append(r.Outcomes, o.outcome)
	}
	if len(r.Outcomes)+len(withdraw) == 0 || h.sendOutcomes(r) {
		return true
	}
	h.outbox.mu.Lock()
	defer h.outbox.mu.Unlock()
	h.outbox.outcomes = append(kept, h.outbox.outcomes...)
	// Withdrawals alone are not repeated, because an ask that is no longer polled expires at the home.
	if len(kept) > 0 {
		h.outbox.withdraw = append(withdraw, h.outbox.withdraw...)
	}
	return false
}

// sendOutcomes sends a message to the home and reports whether the home accepted it.
func (h *home) sendOutcomes(r peer.OutcomesRequest) bool {
	addr, self, ok := h.homeTarget(h.inst.cfg.Now())
	if self {
		return h.handleOutcomes(r)
	}
	if !ok {
		return false
	}
	ack, err := h.inst.peers.Outcomes(addr, r)
	return err == nil && !ack.NotHome
}
