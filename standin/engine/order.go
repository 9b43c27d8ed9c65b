package engine

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// maxAdapters limits the number of adapters that an engine holds; the oldest one is dropped first.
const maxAdapters = 16

// Order tells the engine to load a version or an adapter or to change role.
type Order struct {
	Kind         string `json:"kind"` // "load-version", "load-adapter" or "change-role".
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing-token"`
}

// handleOrder executes an order. An engine that checks fencing tokens refuses an order with a token below the highest
// one seen; any other engine executes and counts it.
func (e *Engine) handleOrder(c fiber.Ctx) error {
	var o Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "invalid JSON: " + err.Error()})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.FencingToken < e.highestFencingToken
	if stale && e.cfg.ChecksFencing {
		e.stats.Refused++
		return c.Status(fiber.StatusConflict).JSON(fiber.Map{"error": "stale fencing token"})
	}
	if !e.executeOrder(o.Kind, strings.Clone(o.Name)) {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "unknown kind of order"})
	}
	e.highestFencingToken = max(e.highestFencingToken, o.FencingToken)
	e.stats.Orders++
	if stale {
		e.stats.StaleOrders++
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// executeOrder executes an order and reports whether its kind is known; it must be called with mu held.
func (e *Engine) executeOrder(kind, name string) bool {
	switch kind {
	case "load-version":
		e.version = name
		e.coldLeft = max(1, e.cfg.ColdFor)
	case "load-adapter":
		if !slices.Contains(e.adapters, name) {
			e.adapters = append(e.adapters, name)
		}
		if len(e.adapters) > maxAdapters {
			e.adapters = e.adapters[1:]
		}
	case "change-role":
		e.role = name
	default:
		return false
	}
	return true
}

// Holds returns the current version, adapters and role, as set by orders.
func (e *Engine) Holds() (version string, adapters []string, role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, slices.Clone(e.adapters), e.role
}
