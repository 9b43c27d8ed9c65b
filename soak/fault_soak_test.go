package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

// maxWork is the longest time that a slow backend server works on a request; a planned stop waits for about as long.
const maxWork = 3 * time.Second

// fault is a fault to inject into a site; run returns when the fault is over.
type fault struct {
	name string
	run  func(rnd *rand.Rand, s *site)
}

// faults lists the faults from which the soak test draws at random.
var faults = []fault{
	{"planned restart", func(rnd *rand.Rand, s *site) { s.restartInstance(rnd, syscall.SIGTERM) }},
	{"kill and restart", func(rnd *rand.Rand, s *site) { s.restartInstance(rnd, syscall.SIGKILL) }},
	{"pause", func(rnd *rand.Rand, s *site) {
		p := s.pickVictim(rnd)
		s.logEvent("pause %s", p.name)
		from := time.Now()
		defer func() { s.excuse(p, from, false) }()
		p.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(rnd, 2*time.Second))
		p.signal(syscall.SIGCONT)
		s.logEvent("resume %s", p.name)
	}},
	{"reload", func(rnd *rand.Rand, s *site) { s.processes[rnd.IntN(len(s.processes))].signal(syscall.SIGHUP) }},
	{"store link", func(rnd *rand.Rand, s *site) {
		s.disturbLink(rnd, s.processes[rnd.IntN(len(s.processes))].store, "store")
	}},
	{"backend link", func(rnd *rand.Rand, s *site) { s.disturbLink(rnd, s.links[rnd.IntN(len(s.links))], "backend server") }},
	{"backend behaviour", func(rnd *rand.Rand, s *site) {
		b := s.backends[rnd.IntN(len(s.backends))]
		all := []platformtest.Behaviour{
			platformtest.ServerError, platformtest.Refusing, platformtest.Truncated, platformtest.Duplicated, platformtest.Unsealed, platformtest.Misdirected, platformtest.UntilClose,
			platformtest.SlowStart, platformtest.Reset, platformtest.UnframedStream, platformtest.UnframedCut, platformtest.UnframedReset,
			platformtest.CutHead, platformtest.CutHeadReset,
		}
		b.SetCutAfter(rnd.IntN(platformtest.HeadBytes))
		v := all[rnd.IntN(len(all))]
		s.logEvent("%s is %s", b.ID, v)
		b.SetBehaviour(v)
		time.Sleep(randomDuration(rnd, 2*time.Second))
		b.SetBehaviour(platformtest.Good)
	}},
	{"slow work", func(rnd *rand.Rand, s *site) {
		b := s.backends[rnd.IntN(len(s.backends))]
		work := randomDuration(rnd, maxWork)
		s.logEvent("%s works for %v on a request", b.ID, work)
		b.SetWork(work)
		time.Sleep(randomDuration(rnd, maxWork))
		b.SetWork(0)
	}},
	{"drain", func(rnd *rand.Rand, s *site) {
		n := rnd.IntN(len(s.backends))
		s.logEvent("%s drains", s.backends[n].ID)
		s.registerBackend(n, "draining")
		time.Sleep(randomDuration(rnd, time.Second))
		s.kv.Remove("servers/" + s.backends[n].ID)
		time.Sleep(randomDuration(rnd, time.Second))
		s.registerBackend(n, "ready")
	}},
	{"configuration", func(_ *rand.Rand, s *site) {
		s.logEvent("configuration")
		s.writeConfig()
	}},
	{"store fault", func(rnd *rand.Rand, s *site) {
		f := []platformtest.Fault{platformtest.Unavailable, platformtest.LostResponse, platformtest.Resetting}[rnd.IntN(3)]
		s.logEvent("store is %s", f)
		s.kv.SetFault(f)
		time.Sleep(randomDuration(rnd, 2*time.Second))
		s.kv.SetFault(platformtest.NoFault)
	}},
	{"request limit", func(rnd *rand.Rand, s *site) { s.limitRequests(rnd) }},
	{"store restored", func(rnd *rand.Rand, s *site) { s.restoreStore(rnd) }},
	{"deadly prompt part", func(rnd *rand.Rand, s *site) {
		s.crashBackends(rnd, deadlyPeriod{part: fmt.Sprintf("de%x", rnd.Uint32())})
	}},
	{"deadly request", func(rnd *rand.Rand, s *site) {
		s.crashBackends(rnd, deadlyPeriod{body: fmt.Sprintf("deadly %x", rnd.Uint32())})
	}},
	{"slow version", func(rnd *rand.Rand, s *site) { s.rollOutSlowVersion(rnd) }},
	{"store compaction", func(_ *rand.Rand, s *site) {
		s.logEvent("store compacts its history")
		s.kv.Compact()
	}},
}

// randomDuration returns a random duration below limit.
func randomDuration(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(limit)))
}

// restartInstance stops a random instance with a signal and starts it again. An instance that is being restarted only gets the
// signal.
func (s *site) restartInstance(rnd *rand.Rand, sig syscall.Signal) {
	p := s.pickVictim(rnd)
	from, planned := time.Now(), sig == syscall.SIGTERM
	defer func() { s.excuse(p, from, planned) }()
	s.logEvent("%v to %s", sig, p.name)
	p.signal(syscall.SIGCONT)
	if !p.restarting.TryLock() {
		p.signal(sig)
		return
	}
	defer p.restarting.Unlock()
	if p.stop(sig) {
		planned = false
		s.logEvent("%s outlived its grace period", p.name)
	}
	time.Sleep(randomDuration(rnd, time.Second))
	if err := p.start(); err != nil {
		s.t.Error(err)
	}
	s.logEvent("start %s", p.name)
}

// disturbLink puts a proxy into a random mode other than forward for a random time.
func (s *site) disturbLink(rnd *rand.Rand, p *proxy, what string) {
	m := mode(1 + rnd.IntN(int(modeCount)-1))
	s.logEvent("link to %s %s: mode %d", what, p.target, m)
	p.setMode(m)
	time.Sleep(randomDuration(rnd, 2*time.Second))
	p.setMode(forward)
}

// injectFaults injects sequential and overlapping faults until stop is closed, and returns when all are over.
func (s *site) injectFaults(rnd *rand.Rand, stop <-chan struct{}) {
	var active sync.WaitGroup
	defer active.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(500)) * time.Millisecond):
		}
		f, faultRand := faults[rnd.IntN(len(faults))], rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		active.Go(func() { f.run(faultRand, s) })
	}
}
