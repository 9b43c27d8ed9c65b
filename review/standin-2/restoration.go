package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store is restored, and awayTime how long it is away before.
	copyAge  = 3 * time.Second
	awayTime = 300 * time.Millisecond
	// calmTime is the time from the return of the store to the leaving of a replica.
	calmTime = 8 * time.Second
)

// restoration brings the store back from a copy and, long after, has a replica leave. All instances are in touch and must send it
// nothing from drainMs after the acknowledgement on.
func restoration(r *run) int {
	kv := newKVStore(r.ip(1), kvLongIdle)
	kv.era = firstEra()
	write := func(version int) {
		kv.put("op/config", config(version, route("order", "/order/", "unsafe", 1200, 1)))
	}
	write(1)
	work := func(*http.Request) time.Duration { return 20*time.Millisecond + rand.N(20*time.Millisecond) }
	var replicas []*replica
	register := func() {
		for _, s := range replicas {
			kv.put("servers/"+s.id, s.entry("ready"))
		}
	}
	for n, id := range []string{"i-one", "i-two"} {
		replicas = append(replicas, newReplica(r.recorder, r.ip(21+n), id, "orders", []string{"za", "zb"}[n], 6, work))
	}
	register()
	r.start(kv.addr, kv.addr)
	r.note("instances are ready; the era of the store is %d", kv.era)

	end := time.Now().Add(22 * time.Second)
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
	saved := kv.copied()
	for version := 2; version < 7; version++ {
		write(version)
		time.Sleep(copyAge / 5)
	}
	if r.trouble {
		r.note("the store goes away")
		kv.leave()
		time.Sleep(awayTime)
		kv.restore(saved)
		r.note("the store is back from a copy that is %v old", copyAge+awayTime)
		write(6) // What the operator and the replicas wrote since is written again.
		register()
	}
	time.Sleep(calmTime)
	leaving := replicas[1]
	acknowledged := kv.put("servers/"+leaving.id, leaving.entry("draining"))
	r.note("the store has accepted that %s is draining", leaving.id)
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
		latest, atLeaving[e.id] = e.at, true
		if e.at.After(acknowledged.Add(drainTime)) {
			broken++
		}
	}
	r.note("latest request at %s: %.3f s after the acknowledgement", leaving.id, latest.Sub(acknowledged).Seconds())
	r.note("%d orders that it had begun got no answer of a replica", lost)
	return broken
}
