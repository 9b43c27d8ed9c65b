package engine

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// maxAdapters bounds the adapters that an engine holds; the oldest one makes room.
const maxAdapters = 16

// Order tells the engine to load a version or an adapter or to change role.
type Order struct {
	Kind         string `json:"kind"` // "load-version", "load-adapter" or "change-role".
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing-token"`
}

// give carries an order out. An engine that checks tokens refuses one below the highest seen; any other carries it out
// and counts it.
func (e *Engine) give(c fiber.Ctx) error {
	var o Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "invalid JSON: " + err.Error()})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.FencingToken < e.fence
	if stale && e.cfg.ChecksFencing {
		e.stats.Refused++
		return c.Status(fiber.StatusConflict).JSON(fiber.Map{"error": "stale fencing token"})
	}
	if !e.carryOut(o.Kind, strings.Clone(o.Name)) {
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "unknown kind of order"})
	}
	e.fence = max(e.fence, o.FencingToken)
	e.stats.Orders++
	if stale {
		e.stats.StaleOrders++
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// carryOut must be called with mu held; it reports whether the kind is known.
func (e *Engine) carryOut(kind, name string) bool {
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

// Holds returns the version, the adapters and the role that orders have set.
func (e *Engine) Holds() (version string, adapters []string, role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, slices.Clone(e.adapters), e.role
}
