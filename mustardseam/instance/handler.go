package instance

import (
	"github.com/mustardseam/mustardseam/mustardseam/peer"
)

// handler handles the messages of other instances.
type handler Instance

func (h *handler) home(pool string) *home { return (*h.homes.Load())[pool] }

// Ask handles an ask as the home of its pool.
func (h *handler) Ask(r peer.AskRequest) peer.AskAnswer {
	hm := h.home(r.Pool)
	if hm == nil || h.draining.Load() {
		return notHomeAnswer
	}
	return hm.handleAsk(r)
}

// Outcomes handles outcomes and withdrawals as the home of their pool.
func (h *handler) Outcomes(r peer.OutcomesRequest) peer.Ack {
	hm := h.home(r.Pool)
	return peer.Ack{Proto: peer.CurrentProto(), NotHome: hm == nil || !hm.handleOutcomes(r)}
}

// Heartbeat handles a heartbeat and returns the heartbeat of this instance.
func (h *handler) Heartbeat(in peer.Heartbeat) peer.Heartbeat {
	i := (*Instance)(h)
	i.handleHeartbeat(in)
	return i.heartbeatAnswer(i.cfg.Now())
}

// Consent handles a home's request for the consent of this instance.
func (h *handler) Consent(r peer.ConsentRequest) peer.ConsentAnswer {
	hm := h.home(r.Pool)
	if hm == nil {
		return peer.ConsentAnswer{Proto: peer.CurrentProto(), From: h.cfg.Incarnation}
	}
	return hm.handleConsent(r)
}

// Document returns the packed document with the digest if it is the current configuration.
func (h *handler) Document(digest string) ([]byte, bool) {
	c := h.holder.Current()
	if c == nil || c.Digest != digest {
		return nil, false
	}
	return c.Packed, true
}

// Answer returns the stored answer of a keyed request.
func (h *handler) Answer(request string) ([]byte, bool) { return h.replay.get(request) }
