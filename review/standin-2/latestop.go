package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime = 8 * time.Second // graceS
	// restartGap is the pause between the stops of two machines.
	restartGap = time.Second
	// stopAllowance is how long after SIGTERM a request may be taken that does not end in time.
	stopAllowance = 3 * time.Second
)

// lateStop stops and starts the two machines of a zone in turn while clients send short streams, and a few long ones. A request
// that a stopping machine takes later than 3 s after its SIGTERM must get a complete answer or a refusal.
func lateStop(r *run) int {
	kv := newKVStore(r.ip(1), kvLongIdle)
	kv.put("op/config", modelConfig(1))
	work := func(*http.Request) time.Duration { return eventGap }
	for n, id := range []string{"e-one", "e-two", "e-three"} {
		s := newReplica(r.recorder, r.ip(21+n), id, "model", "za", 4, work)
		kv.put("servers/"+id, s.entry("ready"))
	}
	r.start(kv.addr, kv.addr)
	r.note("instances are ready")
	b := newBalancer(r.instances)
	defer b.stop()

	const (
		shortEvents = 5
		longEvents  = 50
	)
	var mu sync.Mutex
	var results []sentTo
	send := func(i *instance, events int) {
		a := attempt{
			method: "POST", host: "shop.example", path: "/generate/text", key: "k1", body: "prompt", deadline: 10 * time.Second, events: events,
		}
		got := a.send(r.recorder, i)
		mu.Lock()
		results = append(results, sentTo{got, i.name})
		mu.Unlock()
	}
	var clients sync.WaitGroup
	end := time.Now().Add(16 * time.Second)
	for range 4 {
		clients.Go(func() {
			for time.Now().Before(end) {
				send(b.pick(), shortEvents)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	// Some generations are ten times as long as the usual ones. These begin before the stop and end in time.
	for _, i := range r.instances {
		clients.Go(func() { send(i, longEvents) })
	}
	time.Sleep(restartGap / 2)
	stopped := map[string]time.Time{}
	for _, i := range r.instances {
		if r.trouble {
			r.note("SIGTERM to %s", i.name)
			stopped[i.name] = time.Now()
			i.signal(syscall.SIGTERM)
		}
		time.Sleep(restartGap)
	}
	// No instance is in rotation now, so new connections go to both.
	time.Sleep(stopAllowance - 2*restartGap + 200*time.Millisecond)
	for range 8 {
		clients.Go(func() { send(b.pick(), longEvents) })
		time.Sleep(125 * time.Millisecond)
	}
	clients.Wait()

	reached := map[string]bool{}
	for _, e := range r.all() {
		if e.kind == "run" {
			reached[e.id] = true
		}
	}
	broken := 0
	for _, got := range results {
		at, ok := stopped[got.name]
		after := got.sent.Sub(at)
		if !ok || after <= stopAllowance || after > graceTime+time.Second || got.complete || !reached[got.id] {
			continue
		}
		broken++
		r.note("request %s, taken by %s %.2f s after SIGTERM and run by a replica, got no complete answer: %d %v",
			got.id, got.name, after.Seconds(), got.status, got.err)
	}
	return broken
}

// sentTo is the result of a request and the instance to which it was sent.
type sentTo struct {
	result
	name string
}

// modelConfig returns a configuration with streams of a model.
func modelConfig(version int) map[string]any {
	stream := route("generate", "/generate/", "stream", 10000, 1)
	stream["service"], stream["sloMs"], stream["gapAimMs"], stream["sticky"] = "model", 1500, 500, true
	c := config(version, stream)
	c["services"] = append(c["services"].([]map[string]any), map[string]any{
		"name": "model", "healthPath": "/health", "maxConns": 370, "coldS": 0, "coldPerS": 0,
		"engine": map[string]any{"slots": 4, "kvCapacity": 409143, "stride": 4},
	})
	return c
}
