package main

import (
	"fmt"
	"sync"
	"time"
)

// supersededOrder plays an operator who orders the repaired version v3 while the rollout of the bad version v2 is in progress.
func supersededOrder(s *site, trouble bool) (int, error) {
	const (
		machineCount = 4
		rollback     = 5 * time.Second
		duration     = 40 * time.Second // Of each rollout.
		measured     = 30 * time.Second // From the first order.
		newFails     = 20               // Failures of v2 in a hundred answers.
		supersedeAt  = 2 * time.Second  // After the first order.
		badFrom      = 1900 * time.Millisecond
		pause        = 20 * time.Millisecond // Between two requests of a caller.
		work         = 40 * time.Millisecond // Of a request at a backend server.
	)
	type arrival struct {
		at      time.Time
		id      string
		version string
		bad     bool
	}
	var (
		mu         sync.Mutex
		arrivals   []arrival
		toNew, bad int
		turns      time.Time // When v2 turns bad.
		replicas   []*replica
		requests   ledger
	)
	// fails spreads the failures evenly.
	fails := func(n, percent int) bool { return n*percent/100 != (n-1)*percent/100 }
	versions := []string{"v1", "v1", "v1", "v2", "v2", "v2", "v3", "v3", "v3"}
	for n, version := range versions {
		var r *replica
		serve := func(c *replicaConn, req *replicaRequest) bool {
			status, now := 200, time.Now()
			mu.Lock()
			if r.version == "v2" {
				toNew++
				if !turns.IsZero() && now.After(turns) && fails(toNew, newFails) {
					status = 500
					bad++
				}
			}
			arrivals = append(arrivals, arrival{now, req.id, r.version, status == 500})
			mu.Unlock()
			requests.run(req.id, r, status)
			time.Sleep(work)
			_, err := c.Write([]byte(r.answer(req.id, status, "{}")))
			return err == nil
		}
		var err error
		if r, err = newReplica(s, fmt.Sprintf("i-%d", n+1), "branch-orders", serve); err != nil {
			return 0, err
		}
		r.version = version
		replicas = append(replicas, r)
	}
	s.store.put("op/config", orderConfig(7))
	for _, r := range replicas[:3] {
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
		for k := range 12 {
			callers.Go(func() { i.look(&requests, k, pause, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	for _, r := range replicas[3:6] {
		r.register()
	}
	ordered := time.Now()
	mu.Lock()
	turns = ordered.Add(badFrom)
	mu.Unlock()
	order := func(target string) {
		s.store.put("op/rollout/branch-orders", map[string]any{"service": "branch-orders", "target": target, "durationS": duration.Seconds()})
		s.logf("rollout of %s is ordered", target)
	}
	order("v2")
	superseded := false
	state := func() string { return string(s.store.value("status/rollout/branch-orders")) }
	for previous := ""; time.Since(ordered) < measured; time.Sleep(100 * time.Millisecond) {
		if trouble && !superseded && time.Since(ordered) >= supersedeAt {
			superseded = true
			for _, r := range replicas[6:] {
				r.register()
			}
			order("v3")
		}
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
	late, badSeen, newSeen, all := 0, 0, 0, 0
	for _, a := range arrivals {
		if a.at.After(ordered) {
			all++
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
	s.logf("status at the end: %s", state())
	s.logf("requests sent later than 5 s after the 50th bad answer that reached v2: %d", late)
	allowed := all/10 + 50
	s.logf("requests since the order: %d, of them at v2: %d, of which %d failed; allowed: %d", all, newSeen, badSeen, allowed)
	return late + max(0, newSeen-allowed), nil
}
