package instance

import (
	"github.com/mustardseam/mustardseam/mustardseam/peer"
)

// handler answers the messages of other instances.
type handler Instance

func (h *handler) home(pool string) *home { return (*h.homes.Load())[pool] }

// Ask decides on an ask as the home of its pool.
func (h *handler) Ask(r peer.AskRequest) peer.AskAnswer {
	hm := h.home(r.Pool)
	if hm == nil || h.draining.Load() {
		return notHome
	}
	return hm.ask(r)
}

// Done takes in outcomes as the home of their pool.
func (h *handler) Done(r peer.DoneRequest) peer.Ack {
	hm := h.home(r.Pool)
	return peer.Ack{Proto: peer.Current(), NotHome: hm == nil || !hm.done(r)}
}

// Heartbeat takes in a heartbeat and answers with the own one.
func (h *handler) Heartbeat(in peer.Heartbeat) peer.Heartbeat {
	i := (*Instance)(h)
	i.hear(in)
	return i.reply(i.cfg.Now())
}

// Consent answers a home that asks for this instance's consent.
func (h *handler) Consent(r peer.ConsentRequest) peer.ConsentAnswer {
	hm := h.home(r.Pool)
	if hm == nil {
		return peer.ConsentAnswer{Proto: peer.Current(), From: h.cfg.Incarnation}
	}
	return hm.consent(r)
}

// Document returns the packed document of a digest.
func (h *handler) Document(digest string) ([]byte, bool) {
	c := h.holder.Current()
	if c == nil || c.Digest != digest {
		return nil, false
	}
	return c.Packed, true
}

// Answer returns the kept answer of a keyed request.
func (h *handler) Answer(request string) ([]byte, bool) { return h.replay.get(request) }
