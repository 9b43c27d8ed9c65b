package platform

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxBody     = 1 << 10
	idleTimeout = time.Minute
	readTimeout = 5 * time.Second
)

// Instance is an entry of the instance list.
type Instance struct {
	ID         string `json:"id"          yaml:"id"`
	Address    string `json:"address"     yaml:"address"`
	DataCentre string `json:"data-centre" yaml:"data-centre"`
	State      string `json:"state"       yaml:"state"` // "live" or "leaving".
}

// Platform publishes each change of the instance list after the time Lag; its methods are safe for concurrent use.
type Platform struct {
	Lag        time.Duration
	Loads      int           // Number of weight loads that may start within one Period.
	Period     time.Duration // Window of the weight store's rate limit.
	mu         sync.Mutex    // Guards the fields below.
	faults     Faults
	lists      []datedList
	loadStarts []time.Time
	calls      int
}

type datedList struct {
	at   time.Time
	list []Instance
}

// Set replaces the instance list.
func (p *Platform) Set(list []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.dropReplacedLists(now)
	p.lists = append(p.lists, datedList{now, append([]Instance{}, list...)})
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the number of HTTP calls so far, failed ones included.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Serve handles requests on the listener until the listener is closed.
func (p *Platform) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, UnescapePath: true})
	app.Use(p.applyFaults)
	app.Get("/instances", func(c fiber.Ctx) error { return c.JSON(p.list()) })
	app.Get("/weights/:name", p.weights)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// applyFaults counts the call, delays it and fails it while the platform is down.
func (p *Platform) applyFaults(c fiber.Ctx) error {
	p.mu.Lock()
	p.calls++
	f := p.faults
	p.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.Next()
}

// dropReplacedLists drops lists whose successor is at least Lag old, unless the list is stuck; it must be called with
// mu held.
func (p *Platform) dropReplacedLists(now time.Time) {
	for !p.faults.Stuck && len(p.lists) > 1 && now.Sub(p.lists[1].at) >= p.Lag {
		p.lists = p.lists[1:]
	}
}

// list returns the newest list that is at least Lag old; the first list is published at once.
func (p *Platform) list() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropReplacedLists(time.Now())
	if len(p.lists) == 0 {
		return []Instance{}
	}
	return p.lists[0].list
}

// weights starts a weight load, or answers 429 with Retry-After when the rate limit is reached.
func (p *Platform) weights(c fiber.Ctx) error {
	if wait := p.startLoad(time.Now()); wait > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int((wait+time.Second-1)/time.Second)))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	return c.JSON(fiber.Map{"name": c.Params("name")})
}

// startLoad returns the time until a load may start, or 0 after recording that this one starts.
func (p *Platform) startLoad(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.loadStarts) > 0 && now.Sub(p.loadStarts[0]) >= p.Period {
		p.loadStarts = p.loadStarts[1:]
	}
	if len(p.loadStarts) < p.Loads {
		p.loadStarts = append(p.loadStarts, now)
		return 0
	}
	if len(p.loadStarts) == 0 {
		return max(p.Period, time.Second)
	}
	return p.Period - now.Sub(p.loadStarts[0])
}
