package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still; node_freeze has 4 s in the site files.
	freezeTime = 4 * time.Second
	// longLinger is how long the replica goes on serving after drainMs; then it exits.
	longLinger = 6 * time.Second
)

// oversizedWatch freezes an instance while the configuration changes in two storms, and has a replica leave after it has woken.
// The instance is in touch contactMs later and must send the replica nothing from drainMs after the acknowledgement on.
func oversizedWatch(r *run) int {
	kv := newKVStore(r.ip(1), kvLongIdle)
	versions := make([]json.RawMessage, 2*stormVersions+1)
	for n := range versions {
		b, err := json.Marshal(largeConfig(n+1, routesAfter))
		check(err)
		versions[n] = b
	}
	kv.put("op/config", versions[0])
	work := func(*http.Request) time.Duration { return 80*time.Millisecond + rand.N(80*time.Millisecond) }
	var replicas []*replica
	for n, id := range []string{"i-one", "i-two"} {
		s := newReplica(r.recorder, r.ip(21+n), id, "orders", []string{"za", "zb"}[n], 6, work)
		kv.put("servers/"+id, s.entry("ready"))
		replicas = append(replicas, s)
	}
	r.start(kv.addr, kv.addr)
	r.note("instances are ready; the configuration has %d bytes", len(versions[0]))

	end := time.Now().Add(30 * time.Second)
	var clients sync.WaitGroup
	for n := range 28 {
		clients.Go(func() {
			for k := n; time.Now().Before(end); k++ {
				a := attempt{
					method: "POST", host: "shop.example", path: "/order/new", key: "k1", body: "item", deadline: 2500 * time.Millisecond,
				}
				a.send(r.recorder, r.instances[k%2])
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	frozen := r.instances[1]
	if r.trouble {
		r.note("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { frozen.signal(syscall.SIGCONT) })
	}
	awake := time.Now().Add(freezeTime)
	for _, version := range versions[1:] {
		kv.put("op/config", version)
		time.Sleep(stormGap)
	}
	time.Sleep(time.Until(awake))
	r.note("%s runs again; %d versions were written since", frozen.name, len(versions)-1)
	time.Sleep(time.Second)
	leaving := replicas[1]
	acknowledged := kv.put("servers/"+leaving.id, leaving.entry("draining"))
	r.note("the store has accepted that %s is draining", leaving.id)
	time.AfterFunc(drainTime+longLinger, leaving.exit)
	clients.Wait()

	broken, latest := 0, time.Time{}
	lost, atLeaving, sent := 0, map[string]bool{}, map[string]event{}
	for _, e := range r.all() {
		switch {
		case e.kind == "sent":
			sent[e.id] = e
		case e.kind == "answered" && atLeaving[e.id] && !strings.HasPrefix(e.note, "200"):
			lost++
		case e.kind == "reached" && e.who == leaving.id:
			latest, atLeaving[e.id] = e.at, true
			if e.at.After(acknowledged.Add(drainTime)) && sent[e.id].at.After(awake.Add(contactTime)) {
				broken++
			}
		}
	}
	r.note("latest request at %s: %.3f s after the acknowledgement", leaving.id, latest.Sub(acknowledged).Seconds())
	r.note("%d orders that it had begun got no answer of a replica", lost)
	return broken
}

// largeConfig returns a configuration with a number of routes.
func largeConfig(version, routes int) map[string]any {
	var list []map[string]any
	for n := range routes - 1 {
		list = append(list, route(fmt.Sprintf("route-%04d", n), fmt.Sprintf("/added%04d/", n), "safe", 1200+version%5, 2))
	}
	return config(version, append(list, route("order", "/order/", "unsafe", 1200, 1))...)
}
