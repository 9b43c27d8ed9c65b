package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Quota of the team and the tolerance of the settings.
const (
	quotaRate    = 66578 // ratePerS and burst, tokens
	quotaWindow  = 8 * time.Second
	quotaExcess  = 0.1
	quotaSlack   = 190000
	replacements = 11 // Machines that were lost before.
)

// replacedMachines loses machines one after the other for good and adds others at new addresses. The two that run in the end must
// keep to the quota of a team together.
func replacedMachines(r *run) int {
	kv := newKVStore(r.ip(1), kvLongIdle)
	kv.put("op/config", config(1, route("order", "/order/", "unsafe", 1200, 1)))
	work := func(*http.Request) time.Duration { return 20*time.Millisecond + rand.N(20*time.Millisecond) }
	for n, id := range []string{"i-one", "i-two"} {
		s := newReplica(r.recorder, r.ip(21+n), id, "orders", "za", 6, work)
		kv.put("servers/"+id, s.entry("ready"))
	}
	name := func(n int) string { return fmt.Sprintf("front-za-%d", n) }
	seeds := ""
	for n := 1; r.trouble && n <= replacements; n++ {
		i := startInstance(r.dir, name(n), "za", r.ip(100+n), kv.addr, seeds)
		r.instances = append(r.instances, i)
		i.awaitReady(10 * time.Second)
		kv.awaitKey("mustardseam/instance/"+name(n), 5*time.Second)
		i.kill()
		darken(i.control())
		seeds = fmt.Sprintf("%q", i.control())
		r.note("%s has started and is lost for good", i.name)
	}
	var running []*instance
	for n := replacements + 1; n <= replacements+2; n++ {
		running = append(running, startInstance(r.dir, name(n), "za", r.ip(100+n), kv.addr, seeds))
	}
	r.instances = append(r.instances, running...)
	for _, i := range running {
		i.awaitReady(10 * time.Second)
	}
	r.note("%s and %s are ready", running[0].name, running[1].name)
	time.Sleep(6 * time.Second)

	const tokens = 4000
	r.note("one team asks for three times its quota")
	var mu sync.Mutex
	sent := map[string]time.Time{}
	end := time.Now().Add(25 * time.Second)
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() {
			for k := n; time.Now().Before(end); k++ {
				a := attempt{
					method: "POST", host: "shop.example", path: "/order/new", key: "k1", body: "item", deadline: 2500 * time.Millisecond,
					tokens: tokens,
				}
				got := a.send(r.recorder, running[k%2])
				mu.Lock()
				sent[got.id] = got.sent
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	clients.Wait()

	var runs []event
	for _, e := range r.all() {
		if e.kind == "run" {
			runs = append(runs, e)
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaExcess) + quotaSlack
	most, broken := 0.0, 0
	for n, first := range runs {
		used := 0.0
		for _, e := range runs[n:] {
			if e.at.Sub(first.at) < quotaWindow && !sent[e.id].Before(sent[first.id]) {
				used += tokens
			}
		}
		most = max(most, used)
		if used > allowed {
			broken++
		}
	}
	r.note("most tokens of the team in %v: %.0f, allowed %.0f", quotaWindow, most, allowed)
	return broken
}

// darken makes an address silent, as that of a machine without power: connections to it get no answer.
func darken(addr string) {
	ln, err := net.Listen("tcp", addr)
	check(err)
	go func() {
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
		}
	}()
}
