package main

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the settings.
const (
	drainTime   = 2 * time.Second // drainMs
	contactTime = 3 * time.Second // contactMs
)

// sinceWrite is how long before the connections go silent the instance that is the hub has used one of them for a write.
const sinceWrite = 200 * time.Millisecond

// silentStore lets the open connections to the store go silent and then has a replica leave. The instances are in touch again
// contactMs later and must send it nothing from drainMs after the acknowledgement on.
func silentStore(r *run) int {
	kv := newKVStore(r.ip(1), kvLongIdle)
	kv.put("op/config", config(1, route("order", "/order/", "unsafe", 1200, 1)))
	work := func(*http.Request) time.Duration { return 30 * time.Millisecond }
	var replicas []*replica
	for n, id := range []string{"i-one", "i-two"} {
		s := newReplica(r.recorder, r.ip(21+n), id, "orders", []string{"za", "zb"}[n], 6, work)
		kv.put("servers/"+id, s.entry("ready"))
		replicas = append(replicas, s)
	}
	proxies := []*proxy{newProxy(r.ip(2), kv.addr), newProxy(r.ip(3), kv.addr)}
	r.start(proxies[0].addr, proxies[1].addr)
	r.note("instances are ready")

	end := time.Now().Add(13 * time.Second)
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			for k := n; time.Now().Before(end); k++ {
				a := attempt{
					method: "POST", host: "shop.example", path: "/order/new", key: "k1", body: "item", deadline: 2500 * time.Millisecond,
				}
				a.send(r.recorder, r.instances[k%2])
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	kv.awaitWrite("mustardseam/quotas", 4*time.Second)
	time.Sleep(sinceWrite)
	silent := time.Now()
	if r.trouble {
		r.note("the open connections to the store go silent: %d and %d", proxies[0].silence(), proxies[1].silence())
	}
	time.Sleep(300 * time.Millisecond)
	leaving := replicas[1]
	acknowledged := kv.put("servers/"+leaving.id, leaving.entry("draining"))
	r.note("the store has accepted that %s is draining", leaving.id)
	clients.Wait()

	broken, latest := 0, time.Time{}
	sent := map[string]time.Time{}
	for _, e := range r.all() {
		if e.kind == "sent" {
			sent[e.id] = e.at
		}
		if e.kind != "reached" || e.who != leaving.id {
			continue
		}
		latest = e.at
		if e.at.After(acknowledged.Add(drainTime)) && sent[e.id].After(silent.Add(contactTime)) {
			broken++
		}
	}
	r.note("latest request at %s: %.3f s after the acknowledgement", leaving.id, latest.Sub(acknowledged).Seconds())
	return broken
}
