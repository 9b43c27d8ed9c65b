package platform

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Instance is an entry of the list.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	State      string `json:"state"` // "live" or "leaving".
}

// Platform publishes the list of instances Lag after each change.
type Platform struct {
	Lag     time.Duration
	Loads   int           // Weight loads that may start in a period.
	Period  time.Duration // Of the weight store's rate.
	mu      sync.Mutex    // Guards all that follows.
	lists   []timedList
	started []time.Time
}

type timedList struct {
	at   time.Time
	list []Instance
}

// Set replaces the list.
func (p *Platform) Set(list []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, timedList{time.Now(), append([]Instance{}, list...)})
}

// Serve answers on the listener until it is closed.
func (p *Platform) Serve(ln net.Listener) error {
	app := fiber.New()
	app.Get("/instances", func(c fiber.Ctx) error { return c.JSON(p.list()) })
	app.Get("/weights/:name", p.weights)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// list returns the newest list that is old enough.
func (p *Platform) list() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.lists) > 1 && time.Since(p.lists[1].at) >= p.Lag {
		p.lists = p.lists[1:]
	}
	if len(p.lists) == 0 {
		return []Instance{}
	}
	return p.lists[0].list
}

func (p *Platform) weights(c fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.started) > 0 && now.Sub(p.started[0]) >= p.Period {
		p.started = p.started[1:]
	}
	if len(p.started) >= p.Loads {
		c.Set("Retry-After", "1")
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	p.started = append(p.started, now)
	return c.JSON(fiber.Map{"name": c.Params("name")})
}
