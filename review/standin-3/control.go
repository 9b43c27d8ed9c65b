package main

import (
	"fmt"
	"sync"
	"time"
)

// disturbedControl plays old backend servers that fail a part of their requests for some seconds, while a version is on trial that
// turns bad and stays so.
func disturbedControl(s *site, trouble bool) (int, error) {
	const (
		machineCount = 4
		rollback     = 5 * time.Second
		duration     = 12 * time.Second // Of the rollout.
		measured     = 20 * time.Second // From the order.
		newFails     = 50               // Failures of the new version in a hundred answers, once it is bad.
		oldFails     = 45               // Failures of the old version in a hundred answers, while it is disturbed.
		badFrom      = 2800 * time.Millisecond
		disturbedFor = 4 * time.Second
		pause        = 50 * time.Millisecond // Between two requests of a caller.
	)
	type arrival struct {
		at      time.Time
		id      string
		version string
		bad     bool
	}
	var (
		mu                sync.Mutex
		arrivals          []arrival
		toNew, toOld, bad int
		turns             time.Time // When the new version turns bad and the old one is disturbed.
		replicas          []*replica
		requests          ledger
	)
	// fails spreads the failures evenly.
	fails := func(n, percent int) bool { return n*percent/100 != (n-1)*percent/100 }
	for n := range 7 {
		var r *replica
		serve := func(c *replicaConn, req *replicaRequest) bool {
			status, now := 200, time.Now()
			mu.Lock()
			after := !turns.IsZero() && now.After(turns)
			switch {
			case r.version == "v2":
				toNew++
				if after && fails(toNew, newFails) {
					status = 500
					bad++
				}
			case trouble && after && now.Sub(turns) < disturbedFor:
				toOld++
				if fails(toOld, oldFails) {
					status = 500
				}
			}
			arrivals = append(arrivals, arrival{now, req.id, r.version, status == 500})
			mu.Unlock()
			requests.run(req.id, r, status)
			time.Sleep(10 * time.Millisecond)
			_, err := c.Write([]byte(r.answer(req.id, status, "{}")))
			return err == nil
		}
		var err error
		if r, err = newReplica(s, fmt.Sprintf("i-%d", n+1), "branch-orders", serve); err != nil {
			return 0, err
		}
		if n >= 4 {
			r.version = "v2"
		}
		replicas = append(replicas, r)
	}
	s.store.put("op/config", orderConfig(7))
	for _, r := range replicas[:4] {
		r.register()
	}
	var machines []*instance
	for n := range machineCount {
		i, err := s.newInstance(n + 1)
		if err != nil {
			return 0, err
		}
		if err := s.start(i, i.control); err != nil {
			return 0, err
		}
		machines = append(machines, i)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, i := range machines {
		for k := range 4 {
			callers.Go(func() { i.look(&requests, k, pause, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	for _, r := range replicas[4:] {
		r.register()
	}
	ordered := time.Now()
	mu.Lock()
	turns = ordered.Add(badFrom)
	mu.Unlock()
	s.store.put("op/rollout/branch-orders", map[string]any{"service": "branch-orders", "target": "v2", "durationS": duration.Seconds()})
	s.logf("rollout of v2 is ordered")
	state := func() string { return string(s.store.value("status/rollout/branch-orders")) }
	for previous := ""; time.Since(ordered) < measured; time.Sleep(100 * time.Millisecond) {
		if now := state(); now != previous {
			mu.Lock()
			s.logf("status: %s, after %d answers of v2 of which %d were bad", now, toNew, bad)
			mu.Unlock()
			previous = now
		}
	}
	close(stop)
	callers.Wait()
	requests.write(s)

	mu.Lock()
	defer mu.Unlock()
	var fiftieth time.Time
	late, badSeen, newSeen, inTime, newInTime := 0, 0, 0, 0, 0
	for _, a := range arrivals {
		if a.at.After(ordered) && a.at.Before(ordered.Add(duration)) {
			inTime++
			if a.version == "v2" {
				newInTime++
			}
		}
		if a.version != "v2" {
			continue
		}
		newSeen++
		if !fiftieth.IsZero() && requests.sentAt(a.id).Sub(fiftieth) > rollback {
			late++
		}
		if a.bad {
			if badSeen++; badSeen == 50 {
				fiftieth = a.at
				s.logf("50th bad answer of v2 at %.3f", a.at.Sub(s.started).Seconds())
			}
		}
	}
	s.logf("%d requests ran, %d of them at v2, %d bad answers, status at the end: %s", len(arrivals), newSeen, badSeen, state())
	s.logf("requests sent later than 5 s after the 50th bad answer that reached v2: %d", late)
	allowed := inTime/10 + 50
	s.logf("requests between the order and its deadline: %d, of them at v2: %d, allowed: %d", inTime, newInTime, allowed)
	return late + max(0, newInTime-allowed), nil
}

// look plays a caller that looks something up again and again on one connection, until stop is closed.
func (i *instance) look(requests *ledger, caller int, pause time.Duration, stop <-chan struct{}) {
	c := &client{addr: i.front}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("%s/%d-%d", i.name, caller, n)
		requests.send(id)
		requests.answer(id, c.call("GET", "/look/size", id, "", 2500*time.Millisecond))
	}
}
