package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/engine"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	// orderInterval is the time between two looks at engines that run another version than configured.
	orderInterval = time.Second
	// loadVersion is the kind of an order that loads a version.
	loadVersion = "load-version"
)

// driveOrders tells idle engines to load the version that the configuration names. Orders carry the epoch as fencing
// token. An engine that does not check it is safe as well, because a home gives no order before every right of the one
// before has ended. It must be called with mu held.
func (h *home) driveOrders(now time.Time) {
	if h.kind != operator.Engines || h.ordering || now.Sub(h.orderedAt) < orderInterval || !h.mayOrder(now) {
		return
	}
	h.orderedAt = now
	list := h.pool.Mismatched()
	if len(list) == 0 {
		return
	}
	h.ordering = true
	h.inst.wg.Go(func() { h.order(list[0]) })
}

// mayOrder reports whether this instance is the only one that may give orders; it must be called with mu held.
func (h *home) mayOrder(now time.Time) bool {
	return h.serving != 0 && h.tenure.MayGrant(now) && h.tenure.Share(now) == 1
}

// order loads the weights, as the rate of the weight store allows, and gives one order.
func (h *home) order(b operator.BackendServer) {
	defer func() {
		h.mu.Lock()
		h.ordering = false
		h.mu.Unlock()
	}()
	log := &h.inst.log
	retry, err := h.inst.platform.Weights(b.Version)
	if err != nil || retry > 0 {
		event.VersionOrderDelayed.Log(log).Str("server", b.Name).Err(err).Send()
		h.inst.sleep(retry)
		return
	}
	h.mu.Lock()
	now := h.inst.cfg.Now()
	epoch, ok := h.serving, h.mayOrder(now)
	h.mu.Unlock()
	if !ok {
		return
	}
	err = h.inst.engines.Order(b.Address, engine.Order{Kind: loadVersion, Name: b.Version, FencingToken: epoch})
	if err != nil {
		event.VersionOrderFailed.Log(log).Str("server", b.Name).Err(err).Send()
		return
	}
	event.VersionOrdered.Log(log).Str("server", b.Name).Str("version", b.Version).Send()
}
