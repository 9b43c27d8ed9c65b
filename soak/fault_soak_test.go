package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

// fault is one way to disturb a site; it returns when it is over.
type fault struct {
	name string
	run  func(rnd *rand.Rand, s *site)
}

// faults lists what a soak draws from.
var faults = []fault{
	{"planned restart", func(rnd *rand.Rand, s *site) { s.restart(rnd, syscall.SIGTERM) }},
	{"kill and restart", func(rnd *rand.Rand, s *site) { s.restart(rnd, syscall.SIGKILL) }},
	{"pause", func(rnd *rand.Rand, s *site) {
		p := s.processes[rnd.IntN(len(s.processes))]
		s.note("pause %s", p.name)
		p.signal(syscall.SIGSTOP)
		time.Sleep(some(rnd, 2*time.Second))
		p.signal(syscall.SIGCONT)
		s.note("wake %s", p.name)
	}},
	{"reload", func(rnd *rand.Rand, s *site) { s.processes[rnd.IntN(len(s.processes))].signal(syscall.SIGHUP) }},
	{"store link", func(rnd *rand.Rand, s *site) { s.link(rnd, s.processes[rnd.IntN(len(s.processes))].store, "store") }},
	{"backend link", func(rnd *rand.Rand, s *site) { s.link(rnd, s.links[rnd.IntN(len(s.links))], "backend server") }},
	{"backend behaviour", func(rnd *rand.Rand, s *site) {
		b := s.backends[rnd.IntN(len(s.backends))]
		all := []platformtest.Behaviour{
			platformtest.ServerError, platformtest.Refusing, platformtest.Truncated, platformtest.Duplicated, platformtest.Unsealed, platformtest.Misdirected, platformtest.UntilClose,
			platformtest.SlowStart,
		}
		v := all[rnd.IntN(len(all))]
		s.note("%s is %s", b.ID, v)
		b.SetBehaviour(v)
		time.Sleep(some(rnd, 2*time.Second))
		b.SetBehaviour(platformtest.Good)
	}},
	{"drain", func(rnd *rand.Rand, s *site) {
		n := rnd.IntN(len(s.backends))
		s.note("%s drains", s.backends[n].ID)
		s.register(n, "draining")
		time.Sleep(some(rnd, time.Second))
		s.kv.Remove("servers/" + s.backends[n].ID)
		time.Sleep(some(rnd, time.Second))
		s.register(n, "ready")
	}},
	{"configuration", func(_ *rand.Rand, s *site) {
		s.note("configuration")
		s.configure()
	}},
	{"store away", func(rnd *rand.Rand, s *site) {
		f := []platformtest.Fault{platformtest.Unavailable, platformtest.LostResponse}[rnd.IntN(2)]
		s.note("store is %s", f)
		s.kv.SetFault(f)
		time.Sleep(some(rnd, 2*time.Second))
		s.kv.SetFault(platformtest.NoFault)
	}},
	{"history lost", func(_ *rand.Rand, s *site) {
		s.note("store drops its history")
		s.kv.Compact()
	}},
}

// some returns a random part of a time.
func some(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most)))
}

// restart ends an instance and starts it again.
func (s *site) restart(rnd *rand.Rand, sig syscall.Signal) {
	p := s.processes[rnd.IntN(len(s.processes))]
	s.note("%v to %s", sig, p.name)
	p.signal(syscall.SIGCONT)
	if p.end(sig) {
		s.note("%s outlived its grace period", p.name)
	}
	time.Sleep(some(rnd, time.Second))
	if err := p.start(); err != nil {
		s.t.Error(err)
	}
	s.note("start %s", p.name)
}

// link disturbs a proxy.
func (s *site) link(rnd *rand.Rand, p *proxy, what string) {
	m := mode(1 + rnd.IntN(int(modes)-1))
	s.note("link to %s %s: mode %d", what, p.target, m)
	p.set(m)
	time.Sleep(some(rnd, 2*time.Second))
	p.set(pass)
}

// disturb injects faults, in series and overlapping, until stop is closed, and returns when all are over.
func (s *site) disturb(rnd *rand.Rand, stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(500)) * time.Millisecond):
		}
		f, own := faults[rnd.IntN(len(faults))], rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		running.Go(func() { f.run(own, s) })
	}
}
