package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cutTime is how long the hub is cut off.
const cutTime = 5 * time.Second

// lingerTime is how long the replica goes on serving after drainMs; then it exits.
const lingerTime = time.Second

// hubCut cuts the hub off from the store and has a replica leave at once, which does not report it: its entry is removed. The other
// instance is in touch all the while and must send the replica nothing from drainMs after the removal on.
func hubCut(r *run) int {
	kv := newKVStore(r.ip(1), kvShortIdle)
	kv.put("op/config", config(1, route("order", "/order/", "unsafe", 1200, 1)))
	work := func(*http.Request) time.Duration { return 150*time.Millisecond + rand.N(100*time.Millisecond) }
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
	for range 16 {
		clients.Go(func() {
			for time.Now().Before(end) {
				a := attempt{
					method: "POST", host: "shop.example", path: "/order/new", key: "k1", body: "item", deadline: 2500 * time.Millisecond,
				}
				a.send(r.recorder, r.instances[1])
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	kv.put("op/config", config(2, route("order", "/order/", "unsafe", 1200, 1)))
	time.Sleep(220 * time.Millisecond)
	kv.put("op/config", config(3, route("order", "/order/", "unsafe", 1200, 1)))
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		proxies[0].cutOff()
		r.note("the hub is cut off from the store")
	}
	leaving := replicas[1]
	acknowledged := kv.remove("servers/" + leaving.id)
	r.note("the entry of %s is removed from the store", leaving.id)
	time.AfterFunc(cutTime, proxies[0].heal)
	time.AfterFunc(drainTime+lingerTime, leaving.exit)
	clients.Wait()

	broken, latest := 0, time.Time{}
	lost, atLeaving := 0, map[string]bool{}
	for _, e := range r.all() {
		if e.kind == "answered" && atLeaving[e.id] && !strings.HasPrefix(e.note, "200") {
			lost++
		}
		if e.kind != "reached" || e.who != leaving.id {
			continue
		}
		latest = e.at
		atLeaving[e.id] = true
		if e.at.After(acknowledged.Add(drainTime)) {
			broken++
		}
	}
	r.note("latest request at %s: %.3f s after the removal", leaving.id, latest.Sub(acknowledged).Seconds())
	r.note("%d orders that it had begun got no answer of a replica", lost)
	return broken
}
