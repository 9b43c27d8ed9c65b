package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hub returns the name of the hub that an instance names in its state, empty if it names none.
func (i *instance) hub() string {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + i.ready + "/state")
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	var state struct {
		Hub string `json:"hub"`
	}
	if json.NewDecoder(r.Body).Decode(&state) != nil {
		return ""
	}
	return state.Hub
}

// lostEvidence plays the loss of one process, the one that conducts a rollout, while a version is on trial that fails more of its
// answers than the old one. The process is started again.
func lostEvidence(s *site, trouble bool) (int, error) {
	const (
		machineCount = 4
		contact      = 3 * time.Second
		rollback     = 5 * time.Second
		duration     = 90 * time.Second // Of the rollout.
		measured     = 60 * time.Second // From the order.
		oldFails     = 14               // Failures of the old version in a hundred answers, as those of size-lookup.
		newFails     = 38               // Failures of the new version in a hundred answers.
		killAt       = 34               // Bad answers of the new version.
	)

	type arrival struct {
		at      time.Time
		id      string
		version string
		bad     bool
	}
	var mu sync.Mutex
	var arrivals []arrival
	toNew, toOld, bad := 0, 0, 0
	// fails spreads the failures evenly.
	fails := func(n, percent int) bool { return n*percent/100 != (n-1)*percent/100 }
	reached := make(chan struct{})
	var replicas []*replica
	var requests ledger
	for n := range 6 {
		var r *replica
		serve := func(c *replicaConn, req *replicaRequest) bool {
			status := 200
			mu.Lock()
			if r.version == "v2" {
				if toNew++; fails(toNew, newFails) {
					status = 500
					if bad++; bad == killAt {
						close(reached)
					}
				}
			} else if toOld++; fails(toOld, oldFails) {
				status = 500
			}
			arrivals = append(arrivals, arrival{time.Now(), req.id, r.version, status == 500})
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
		if n >= 3 {
			r.version = "v2"
		}
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
		for k := range 4 {
			callers.Go(func() { i.look(&requests, k, 150*time.Millisecond, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	for _, r := range replicas[3:] {
		r.register()
	}
	ordered := time.Now()
	s.store.put("op/rollout/branch-orders", map[string]any{"service": "branch-orders", "target": "v2", "durationS": duration.Seconds()})
	s.logf("rollout of v2 is ordered")
	killed := make(chan string, 1)
	go func() {
		<-reached
		if !trouble {
			killed <- ""
			return
		}
		for _, i := range machines {
			if name := machines[0].hub(); name == i.name || name == "" && i == machines[0] {
				name = i.name
				s.logf("%s, which conducts the rollout, is killed after %d bad answers of v2", name, killAt)
				i.kill()
				time.Sleep(500 * time.Millisecond)
				if err := s.start(i, i.control); err != nil {
					s.logf("start again: %v", err)
				}
				killed <- name
				return
			}
		}
		s.logf("no machine says that it conducts the rollout")
		killed <- ""
	}()
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
	victim := ""
	select {
	case victim = <-killed:
	default:
	}
	if trouble && victim == "" {
		return 0, fmt.Errorf("nothing was killed; status %s", state())
	}

	mu.Lock()
	defer mu.Unlock()
	var fiftieth time.Time
	late, badSeen, newSeen := 0, 0, 0
	for _, a := range arrivals {
		if a.version != "v2" {
			continue
		}
		newSeen++
		at := requests.sentAt(a.id)
		if !fiftieth.IsZero() && at.Sub(fiftieth) > rollback && !strings.HasPrefix(a.id, victim+"/") {
			late++
			s.logf("BROKEN (EXPOSURE): request %s, sent %.1f s after the 50th bad answer, reaches v2", a.id, at.Sub(fiftieth).Seconds())
		}
		if a.bad {
			if badSeen++; badSeen == 50 {
				fiftieth = a.at
				s.logf("50th bad answer of v2 at %.3f", a.at.Sub(s.started).Seconds())
			}
		}
	}
	s.logf("%d requests ran, %d of them at v2, %d bad answers, status at the end: %s", len(arrivals), newSeen, badSeen, state())
	return late, nil
}
