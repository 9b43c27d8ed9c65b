package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// machinesOfZones is the number of machines in each zone of qasr-fit.
var machinesOfZones = []struct {
	zone  string
	count int
}{{"amman-a", 3}, {"amman-b", 3}, {"amman-c", 2}}

// startGeneration starts a machine for each place of the site. The names go on from generation to generation.
func (s *site) startGeneration(generation int) ([]*instance, error) {
	var started []*instance
	var mu sync.Mutex
	var wg sync.WaitGroup
	var firstErr error
	n := 0
	for _, z := range machinesOfZones {
		for k := range z.count {
			n++
			i, err := s.newInstance(generation*8 + n)
			if err != nil {
				return nil, err
			}
			i.name = fmt.Sprintf("front-%s-%d", z.zone, generation*z.count+k+1)
			i.zone = z.zone
			started = append(started, i)
			wg.Go(func() {
				if err := s.start(i, i.control); err != nil {
					mu.Lock()
					firstErr = err
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	if firstErr != nil {
		return nil, firstErr
	}
	for _, i := range started {
		for range 100 {
			if s.store.value("mustardseam/instance/"+i.name) != nil {
				break
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	return started, nil
}

// losePower ends machines at once; their addresses no longer answer.
func (s *site) losePower(machines []*instance) error {
	for _, i := range machines {
		i.kill()
	}
	for _, i := range machines {
		if _, err := newSilentAddress(i.control); err != nil {
			return err
		}
	}
	s.logf("%d machines lose power for good, the last is %s", len(machines), machines[len(machines)-1].name)
	return nil
}

// replacedMachines plays the replacement of all machines of a site, several times over its life, the last time in the middle of a
// rollout of a bad version.
func replacedMachines(s *site, trouble bool) (int, error) {
	const (
		generations = 4 // How often all machines were replaced.
		contact     = 3 * time.Second
		rollback    = 5 * time.Second
		duration    = 60 * time.Second // Of the rollout.
		measured    = 40 * time.Second // After the last replacement.
	)
	type arrival struct {
		at  time.Time
		id  string
		bad bool
	}
	var mu sync.Mutex
	var toNew []arrival
	runs := 0
	var replicas []*replica
	var requests ledger
	for n := range 6 {
		var r *replica
		serve := func(c *replicaConn, req *replicaRequest) bool {
			status := 200
			mu.Lock()
			runs++
			if r.version == "v2" {
				bad := len(toNew)%10 < 6 // Six in ten answers of the new version are failures.
				if bad {
					status = 500
				}
				toNew = append(toNew, arrival{time.Now(), req.id, bad})
			}
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
	last := 0
	if trouble {
		last = generations
		for g := range generations - 1 {
			machines, err := s.startGeneration(g)
			if err != nil {
				return 0, err
			}
			time.Sleep(300 * time.Millisecond)
			if err := s.losePower(machines); err != nil {
				return 0, err
			}
		}
	}
	machines, err := s.startGeneration(max(0, last-1))
	if err != nil {
		return 0, err
	}

	stop := make(chan struct{})
	var callers sync.WaitGroup
	callersOf := func(machines []*instance, stop <-chan struct{}) {
		for _, i := range machines {
			for k := range 2 {
				callers.Go(func() { i.look(&requests, k, 80*time.Millisecond, stop) })
			}
		}
	}
	stopFirst := make(chan struct{})
	callersOf(machines, stopFirst)
	time.Sleep(4 * time.Second)
	for _, r := range replicas[3:] {
		r.register()
	}
	s.store.put("op/rollout/branch-orders", map[string]any{"service": "branch-orders", "target": "v2", "durationS": duration.Seconds()})
	s.logf("rollout of v2 is ordered")
	state := func() string { return string(s.store.value("status/rollout/branch-orders")) }
	for n := 0; !strings.Contains(state(), "in_progress"); n++ {
		if n == 100 {
			return 0, fmt.Errorf("the rollout does not begin: %s", state())
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.logf("status: %s", state())
	if trouble {
		close(stopFirst)
		if err := s.losePower(machines); err != nil {
			return 0, err
		}
		if machines, err = s.startGeneration(last); err != nil {
			return 0, err
		}
		callersOf(machines, stop)
	} else {
		callersOf(nil, stop)
	}
	up := time.Now()
	previous := ""
	for time.Since(up) < measured {
		if now := state(); now != previous {
			s.logf("status: %s", now)
			previous = now
		}
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		close(stop)
	} else {
		close(stopFirst)
	}
	callers.Wait()
	requests.write(s)

	mu.Lock()
	defer mu.Unlock()
	var fiftieth time.Time
	bad, late := 0, 0
	for _, a := range toNew {
		at := requests.sentAt(a.id)
		if !fiftieth.IsZero() && at.Sub(fiftieth) > rollback && at.Sub(up) > contact {
			late++
			if late <= 20 {
				s.logf("BROKEN (EXPOSURE): request %s, sent %.1f s after the 50th bad answer, reaches v2", a.id, at.Sub(fiftieth).Seconds())
			}
		}
		if a.bad {
			if bad++; bad == 50 {
				fiftieth = a.at
				s.logf("50th bad answer of v2 at %.3f", a.at.Sub(s.started).Seconds())
			}
		}
	}
	s.logf("%d requests ran, %d of them at v2, %d bad answers, status at the end: %s", runs, len(toNew), bad, state())
	return late, nil
}
