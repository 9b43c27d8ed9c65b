package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/engine"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	// orderInterval is the time between two checks for engines that run another version than the configured one.
	orderInterval = time.Second
	// loadVersion is the order kind that makes an engine load a version.
	loadVersion = "load-version"
)

// driveOrders orders idle engines to load their configured version. Each order carries the epoch as fencing token. An
// engine that does not check the token is safe as well, because a home sends no order before every right of its
// predecessor has expired. It must be called with mu held.
func (h *home) driveOrders(now time.Time) {
	if h.kind != operator.Engines || h.orderInProgress || now.Sub(h.lastOrderCheck) < orderInterval || !h.mayOrder(now) {
		return
	}
	h.lastOrderCheck = now
	list := h.pool.Mismatched()
	if len(list) == 0 {
		return
	}
	h.orderInProgress = true
	h.inst.wg.Go(func() { h.order(list[0]) })
}

// mayOrder reports whether this instance is the only one that may send orders; it must be called with mu held.
func (h *home) mayOrder(now time.Time) bool {
	return h.servingEpoch != 0 && h.tenure.MayGrant(now) && h.tenure.ShareDivisor(now) == 1
}

// order requests the weights from the weight store, within its rate limit, and sends one order.
func (h *home) order(b operator.BackendServer) {
	defer func() {
		h.mu.Lock()
		h.orderInProgress = false
		h.mu.Unlock()
	}()
	log := &h.inst.log
	retry, err := h.inst.platform.RequestWeights(b.Version)
	if err != nil || retry > 0 {
		event.VersionLoadDelayed.Log(log).Str("server", b.Name).Err(err).Send()
		h.inst.sleep(retry)
		return
	}
	h.mu.Lock()
	now := h.inst.cfg.Now()
	epoch, ok := h.servingEpoch, h.mayOrder(now)
	h.mu.Unlock()
	if !ok {
		return
	}
	err = h.inst.engines.SendOrder(b.Address, engine.Order{Kind: loadVersion, Name: b.Version, FencingToken: epoch})
	if err != nil {
		event.VersionLoadFailed.Log(log).Str("server", b.Name).Err(err).Send()
		return
	}
	event.VersionLoadRequested.Log(log).Str("server", b.Name).Str("version", b.Version).Send()
}
