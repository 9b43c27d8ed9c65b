package main

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/etcd"
)

const (
	// withdrawalBound is the time after which a data centre taken out of service or a leaving backend server gets no
	// new requests (design 1.2).
	withdrawalBound = 3 * time.Second
	// propagationBound is the time within which every instance applies an accepted configuration (design 1.2).
	propagationBound = 6 * time.Second
	// stopGrace is the time that a planned stop leaves for running requests to end.
	stopGrace = 20 * time.Second
)

// injectFaults takes a data centre out of service and back, withdraws a backend server, replaces an instance, rolls out
// a bad version, makes the store fail, sends a burst of requests, and resets an engine to cold start, each at a fixed
// fraction of the run.
func (r *demoRun) injectFaults() {
	span := r.end.Sub(r.start)
	dc := r.site.DataCentres[1]
	server := r.cluster.Document().BackendServers[0].Name
	steps := []struct {
		at float64
		do func()
	}{
		{0.05, func() {
			r.submit("out", func(d operator.Document) operator.Document { return withOutOfService(d, dc, true) })
		}},
		{0.10, func() { r.cluster.Engines[2].Chill() }},
		{0.15, func() { go r.replaceInstance(5) }},
		{0.22, func() { go r.rollOutBadVersion() }},
		{0.40, func() { r.checkDataCentre(dc) }},
		{0.55, func() {
			r.submit("back", func(d operator.Document) operator.Document { return withOutOfService(d, dc, false) })
		}},
		{0.57, func() {
			r.submit("leave", func(d operator.Document) operator.Document { return withLeaving(d, server, true) })
		}},
		{0.60, func() { r.cluster.Store.SetFaults(etcd.Faults{Down: true}) }},
		{0.65, func() { go r.sendBurst() }},
		{0.85, func() { r.cluster.Store.SetFaults(etcd.Faults{LoseAnswer: 2}) }},
		{0.90, func() { r.checkServer(server) }},
	}
	for _, s := range steps {
		at := r.start.Add(time.Duration(s.at * float64(span)))
		time.Sleep(time.Until(at))
		s.do()
	}
}

func withOutOfService(d operator.Document, name string, out bool) operator.Document {
	for _, dc := range d.DataCentres {
		if dc.Name == name {
			return d.WithDataCentre(dc.WithOutOfService(out))
		}
	}
	return d
}

func withLeaving(d operator.Document, name string, leaving bool) operator.Document {
	for _, b := range d.BackendServers {
		if b.Name == name {
			return d.WithBackendServer(b.WithLeaving(leaving))
		}
	}
	return d
}

// submit changes the configuration and records how long it takes until every instance applies it.
func (r *demoRun) submit(id string, change func(operator.Document) operator.Document) {
	if err := r.cluster.Submit(id, change); err != nil {
		r.addFailure("submit %s: %v", id, err)
		return
	}
	accepted, revision := time.Now(), r.cluster.Revision()
	go func() {
		for !r.inForce(revision) && time.Since(accepted) < 2*propagationBound {
			time.Sleep(10 * time.Millisecond)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.observed.maxPropagation = max(r.observed.maxPropagation, time.Since(accepted))
	}()
}

// inForce reports whether every running instance applies the given revision or a later one.
func (r *demoRun) inForce(revision uint64) bool {
	for n := range r.cluster.Instances() {
		if i := r.cluster.Instance(n); i != nil && i.State().Revision < revision {
			return false
		}
	}
	return true
}

// admitted returns the number of requests admitted by the engines of the backend servers that in selects.
func (r *demoRun) admitted(in func(operator.BackendServer) bool) int {
	total := 0
	n := 0
	for _, b := range r.cluster.Document().BackendServers {
		if b.Pool != "models" {
			continue
		}
		if in(b) {
			total += r.cluster.Engines[n].Stats().Admitted
		}
		n++
	}
	return total
}

// checkDataCentre counts the requests admitted in a data centre that has been out of service for longer than
// withdrawalBound.
func (r *demoRun) checkDataCentre(dc string) {
	late := r.admittedDuring(func(b operator.BackendServer) bool { return b.DataCentre == dc })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.lateToDataCentre += late
}

// checkServer counts the requests admitted by a backend server that has been leaving for longer than withdrawalBound.
func (r *demoRun) checkServer(name string) {
	late := r.admittedDuring(func(b operator.BackendServer) bool { return b.Name == name })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.lateToServer += late
}

// admissionCheckTime is how long a check counts admissions of engines that must get no new requests.
const admissionCheckTime = time.Second

func (r *demoRun) admittedDuring(in func(operator.BackendServer) bool) int {
	before := r.admitted(in)
	time.Sleep(admissionCheckTime)
	return r.admitted(in) - before
}

// replaceInstance performs a planned stop of instance n and starts a new one in its place.
func (r *demoRun) replaceInstance(n int) {
	r.mu.Lock()
	r.stopping[n] = true
	r.mu.Unlock()
	i := r.cluster.Instance(n)
	if !i.Stop(stopGrace) {
		r.mu.Lock()
		r.observed.interruptedStops++
		r.mu.Unlock()
	}
	r.cluster.Remove(n)
	if err := r.cluster.Start(n); err != nil {
		r.addFailure("start instance %d: %v", n+1, err)
		return
	}
	for !r.cluster.Instance(n).Ready() && time.Now().Before(r.end) {
		time.Sleep(20 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stopping, n)
}

func (r *demoRun) addFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.failures = append(r.observed.failures, fmt.Sprintf(format, args...))
}

// detectReverts counts how often an instance returns to a lower revision without a restart.
func (r *demoRun) detectReverts() {
	type seen struct {
		incarnation string
		revision    uint64
	}
	last := make([]seen, r.cluster.Instances())
	for ; time.Now().Before(r.end); time.Sleep(50 * time.Millisecond) {
		for n := range last {
			i := r.cluster.Instance(n)
			if i == nil {
				continue
			}
			s := i.State()
			if last[n].incarnation == s.Incarnation && s.Revision < last[n].revision {
				r.mu.Lock()
				r.observed.reverts++
				r.mu.Unlock()
			}
			last[n] = seen{s.Incarnation, s.Revision}
		}
	}
}
