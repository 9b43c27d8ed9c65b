package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceInstances = 8 // As on the sheets.
	graceZone      = 3 // Instances of the clients' zone, the first ones.
	// stopGap is the time between the two planned stops.
	stopGap = 1300 * time.Millisecond
	// orderTime is how long a backend server works on an order, orderDeadline how long the client waits, as on the sheets.
	orderTime     = 2300 * time.Millisecond
	orderDeadline = 2500 * time.Millisecond
	// orderInterval is the time between two orders.
	orderInterval = 75 * time.Millisecond
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 300 * time.Millisecond
)

// order is an order of a client.
type order struct {
	id       string
	instance *instance
	sent     time.Time
	ended    time.Time
	complete bool // The client has the whole answer.
	status   int
	err      error
}

// playGrace plays planned stops of two of the three instances of a zone, of eight in all, one after the other. Rule LOST: an order that was
// passed on to a backend server must get its answer.
func playGrace(s *site, trouble bool) verdict {
	s.store.put("op/config", []byte(`{"version":1,"routes":[{"name":"order","host":"h.example","prefix":"/order/","kind":"unsafe",
		"timeoutMs":2500,"sloMs":2500,"attempts":1,"service":"orders"}],"services":[{"name":"orders","healthPath":"/health"}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},
		"tenants":[{"name":"team","apiKeys":["key-team"]}]}`))
	var backends []*backend
	for n := range 7 {
		b, err := newBackend(s.rec, fmt.Sprintf("i-orders-%d", n), "orders", 6, orderTime)
		if err != nil {
			return verdict{err: err}
		}
		defer b.close()
		backends = append(backends, b)
		s.store.put("servers/"+b.id, b.entry("ready"))
	}
	s.firstZone = graceZone
	if err := s.startInstances(graceInstances); err != nil {
		return verdict{err: err}
	}
	entry := newEntryAddress(s)
	defer entry.stop()
	stopped := make([]time.Time, graceZone)
	var stops sync.WaitGroup
	begin := time.Now().Add(3 * time.Second)
	if trouble {
		for n := range 2 {
			stops.Add(1)
			go func() {
				defer stops.Done()
				time.Sleep(time.Until(begin.Add(time.Duration(n) * stopGap)))
				stopped[n] = s.instances[n].restart()
			}()
		}
	}
	orders := sendOrders(s, entry, time.Now().Add(16*time.Second))
	stops.Wait()
	return judgeOrders(s, orders, backends, stopped)
}

// restart stops an instance by SIGTERM, kills it when the grace is over and starts it again. It returns the time of the signal.
func (i *instance) restart() time.Time {
	at := i.signal(syscall.SIGTERM)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(restartDelay)
	if err := i.start(); err != nil {
		i.site.rec.logf("process  %s did not start: %v", i.name, err)
	}
	return at
}

// entryAddress is the platform's address for clients. It sends new connections to the instances that are in rotation, or to all
// if fewer than half are.
type entryAddress struct {
	site   *site
	done   chan struct{}
	mu     sync.Mutex
	misses []int
	turn   int
}

func newEntryAddress(s *site) *entryAddress {
	e := &entryAddress{site: s, done: make(chan struct{}), misses: make([]int, graceZone)}
	go func() {
		for {
			select {
			case <-e.done:
				return
			case <-time.After(time.Second):
			}
			for n, i := range s.instances[:graceZone] {
				ready := i.isReady()
				e.mu.Lock()
				if ready {
					e.misses[n] = 0
				} else {
					e.misses[n]++
				}
				e.mu.Unlock()
			}
		}
	}()
	return e
}

func (e *entryAddress) stop() { close(e.done) }

// pick returns the instance for a new connection.
func (e *entryAddress) pick() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	var in []*instance
	for n, i := range e.site.instances[:graceZone] {
		if e.misses[n] < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < graceZone {
		in = e.site.instances[:graceZone]
	}
	e.turn++
	return in[e.turn%len(in)]
}

// sendOrders sends orders until a time and returns them when all have ended.
func sendOrders(s *site, entry *entryAddress, until time.Time) []*order {
	var orders []*order
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		o := &order{id: fmt.Sprintf("order-%d", n), instance: entry.pick()}
		orders = append(orders, o)
		wg.Add(1)
		go func() {
			defer wg.Done()
			o.send(s)
		}()
		time.Sleep(orderInterval)
	}
	wg.Wait()
	return orders
}

// send sends an order on a new connection and waits for the answer.
func (o *order) send(s *site) {
	defer func() {
		o.ended = time.Now()
		s.rec.logf("answer   %s: status %d, complete %v, error %v", o.id, o.status, o.complete, o.err)
	}()
	o.sent = time.Now()
	conn, err := net.DialTimeout("tcp", o.instance.front(), time.Second)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	o.sent = time.Now()
	s.rec.logf("request  %s to %s", o.id, o.instance.name)
	body := `{"hides":2}`
	_, err = fmt.Fprintf(conn, "POST /order/a HTTP/1.1\r\nHost: h.example\r\nMustardseam-Request-Id: %s\r\nMustardseam-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer key-team\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		o.id, orderDeadline.Milliseconds(), len(body), body)
	if err != nil {
		o.err = err
		return
	}
	_ = conn.SetReadDeadline(o.sent.Add(orderDeadline + time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = err
		return
	}
	o.status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	o.err = err
	o.complete = err == nil && (resp.StatusCode != http.StatusOK || strings.HasPrefix(string(b), o.id+" "))
}

// judgeOrders counts the orders that were lost around the planned stops.
func judgeOrders(s *site, orders []*order, backends []*backend, stopped []time.Time) verdict {
	runs := map[string]arrival{}
	for _, b := range backends {
		for _, a := range b.arrived() {
			runs[a.id] = a
		}
	}
	v := verdict{}
	answered := 0
	for _, o := range orders {
		_, passedOn := runs[o.id]
		if o.complete {
			answered++
			continue
		}
		var term time.Time
		for n, at := range stopped {
			if s.instances[n] == o.instance {
				term = at
			}
		}
		switch {
		case !passedOn:
		case term.IsZero() || o.ended.Before(term) || o.ended.After(term.Add(grace+time.Second)):
			s.rec.logf("order    %s ended without an answer outside of planned work", o.id)
		case o.ended.Sub(o.sent) >= orderDeadline: // Its deadline was reached.
		case !o.sent.After(term.Add(3*time.Second)) && !o.ended.Before(term.Add(grace*5/6)): // Excused: at work in the last sixth.
		default:
			v.broken++
			s.rec.logf("LOST     %s: read by %s %d ms after its SIGTERM, reached its backend server, connection ended after %d ms without "+
				"an answer (%v)", o.id, o.instance.name, o.sent.Sub(term).Milliseconds(), o.ended.Sub(o.sent).Milliseconds(), o.err)
		}
	}
	s.rec.logf("orders   %d sent, %d answered, %d lost", len(orders), answered, v.broken)
	return v
}
