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

// Instance is an entry of the list.
type Instance struct {
	ID         string `json:"id"          yaml:"id"`
	Address    string `json:"address"     yaml:"address"`
	DataCentre string `json:"data-centre" yaml:"data-centre"`
	State      string `json:"state"       yaml:"state"` // "live" or "leaving".
}

// Platform publishes the list of instances Lag after each change; its methods are safe for concurrent use.
type Platform struct {
	Lag     time.Duration
	Loads   int           // Weight loads that may start in a period.
	Period  time.Duration // Of the weight store's rate.
	mu      sync.Mutex    // Guards all that follows.
	faults  Faults
	lists   []timedList
	started []time.Time
	calls   int
}

type timedList struct {
	at   time.Time
	list []Instance
}

// Set replaces the list.
func (p *Platform) Set(list []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.age(now)
	p.lists = append(p.lists, timedList{now, append([]Instance{}, list...)})
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Serve answers on the listener until it is closed.
func (p *Platform) Serve(ln net.Listener) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBody, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, UnescapePath: true})
	app.Use(p.fail)
	app.Get("/instances", func(c fiber.Ctx) error { return c.JSON(p.list()) })
	app.Get("/weights/:name", p.weights)
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// fail applies the faults.
func (p *Platform) fail(c fiber.Ctx) error {
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

// age drops the lists that a newer one has replaced for long enough; it must be called with mu held.
func (p *Platform) age(now time.Time) {
	for !p.faults.Stuck && len(p.lists) > 1 && now.Sub(p.lists[1].at) >= p.Lag {
		p.lists = p.lists[1:]
	}
}

// list returns the newest list that is old enough, the first one at once.
func (p *Platform) list() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.age(time.Now())
	if len(p.lists) == 0 {
		return []Instance{}
	}
	return p.lists[0].list
}

// weights starts a load unless the rate is used up.
func (p *Platform) weights(c fiber.Ctx) error {
	if wait := p.startLoad(time.Now()); wait > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int((wait+time.Second-1)/time.Second)))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	return c.JSON(fiber.Map{"name": c.Params("name")})
}

// startLoad returns how long to wait for the next load, 0 when this one may start.
func (p *Platform) startLoad(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.started) > 0 && now.Sub(p.started[0]) >= p.Period {
		p.started = p.started[1:]
	}
	if len(p.started) < p.Loads {
		p.started = append(p.started, now)
		return 0
	}
	if len(p.started) == 0 {
		return max(p.Period, time.Second)
	}
	return p.Period - now.Sub(p.started[0])
}
