package main

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/etcd"
)

const (
	// leaveBound is the time after which a data centre or backend server that leaves gets no new work (design 1.2).
	leaveBound = 3 * time.Second
	// forceBound is the time within which a configuration is in force everywhere (design 1.2).
	forceBound = 6 * time.Second
	// stopGrace is the grace period of a planned stop.
	stopGrace = 20 * time.Second
)

// disturb takes a data centre and a backend server out and back, replaces an instance, rolls a bad version out, lets the
// store fail, sends a burst, and turns an engine cold, each at its time.
func (r *demoRun) disturb() {
	span := r.end.Sub(r.start)
	dc := r.site.DataCentres[1]
	server := r.cluster.Document().BackendServers[0].Name
	steps := []struct {
		at float64
		do func()
	}{
		{0.05, func() {
			r.submit("out", func(d operator.Document) operator.Document { return dataCentre(d, dc, true) })
		}},
		{0.10, func() { r.cluster.Engines[2].Chill() }},
		{0.15, func() { go r.replace(5) }},
		{0.22, func() { go r.badVersion() }},
		{0.40, func() { r.checkDataCentre(dc) }},
		{0.55, func() {
			r.submit("back", func(d operator.Document) operator.Document { return dataCentre(d, dc, false) })
		}},
		{0.57, func() {
			r.submit("leave", func(d operator.Document) operator.Document { return leaving(d, server, true) })
		}},
		{0.60, func() { r.cluster.Store.SetFaults(etcd.Faults{Down: true}) }},
		{0.65, func() { go r.burst() }},
		{0.85, func() { r.cluster.Store.SetFaults(etcd.Faults{LoseAnswer: 2}) }},
		{0.90, func() { r.checkServer(server) }},
	}
	for _, s := range steps {
		at := r.start.Add(time.Duration(s.at * float64(span)))
		time.Sleep(time.Until(at))
		s.do()
	}
}

func dataCentre(d operator.Document, name string, out bool) operator.Document {
	for _, dc := range d.DataCentres {
		if dc.Name == name {
			return d.WithDataCentre(dc.WithOutOfService(out))
		}
	}
	return d
}

func leaving(d operator.Document, name string, leaving bool) operator.Document {
	for _, b := range d.BackendServers {
		if b.Name == name {
			return d.WithBackendServer(b.WithLeaving(leaving))
		}
	}
	return d
}

// submit changes the configuration and measures when it is in force everywhere.
func (r *demoRun) submit(id string, change func(operator.Document) operator.Document) {
	if err := r.cluster.Submit(id, change); err != nil {
		r.fail("submit %s: %v", id, err)
		return
	}
	accepted, revision := time.Now(), r.cluster.Revision()
	go func() {
		for !r.inForce(revision) && time.Since(accepted) < 2*forceBound {
			time.Sleep(10 * time.Millisecond)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.notes.slowest = max(r.notes.slowest, time.Since(accepted))
	}()
}

// inForce reports whether every instance has the revision or a later one.
func (r *demoRun) inForce(revision uint64) bool {
	for n := range r.cluster.Instances() {
		if i := r.cluster.Instance(n); i != nil && i.State().Revision < revision {
			return false
		}
	}
	return true
}

// admitted returns the requests admitted by the engines for which the test holds.
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

// checkDataCentre counts what is admitted in a data centre that was taken out more than leaveBound ago.
func (r *demoRun) checkDataCentre(dc string) {
	late := r.admittedDuring(func(b operator.BackendServer) bool { return b.DataCentre == dc })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes.lateToDataCentre += late
}

// checkServer counts what is admitted by a backend server that has been leaving for more than leaveBound.
func (r *demoRun) checkServer(name string) {
	late := r.admittedDuring(func(b operator.BackendServer) bool { return b.Name == name })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes.lateToServer += late
}

// watchFor is how long checks look at engines that must not be given work.
const watchFor = time.Second

func (r *demoRun) admittedDuring(in func(operator.BackendServer) bool) int {
	before := r.admitted(in)
	time.Sleep(watchFor)
	return r.admitted(in) - before
}

// replace stops an instance as planned and starts it anew.
func (r *demoRun) replace(n int) {
	r.mu.Lock()
	r.stopping[n] = true
	r.mu.Unlock()
	i := r.cluster.Instance(n)
	if !i.Stop(stopGrace) {
		r.mu.Lock()
		r.notes.cutOff++
		r.mu.Unlock()
	}
	r.cluster.Remove(n)
	if err := r.cluster.Start(n); err != nil {
		r.fail("start instance %d: %v", n+1, err)
		return
	}
	for !r.cluster.Instance(n).Ready() && time.Now().Before(r.end) {
		time.Sleep(20 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stopping, n)
}

func (r *demoRun) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes.failures = append(r.notes.failures, fmt.Sprintf(format, args...))
}

// observe looks for revisions that go back.
func (r *demoRun) observe() {
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
				r.notes.reverts++
				r.mu.Unlock()
			}
			last[n] = seen{s.Incarnation, s.Revision}
		}
	}
}
