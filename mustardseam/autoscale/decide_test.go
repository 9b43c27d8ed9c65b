package autoscale

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// usual is the usual load.
func usual(int) float64 { return fakeRate }

// wave returns a load with a period of 10 s that swings by 27 % of a mean.
func wave(mean float64) func(int) float64 {
	return func(s int) float64 { return mean * fakeRate * (1 + 0.27*math.Sin(2*math.Pi*float64(s)/10)) }
}

// between returns a factor on the usual load from one second to another.
func between(from, to int, factor float64) func(int) float64 {
	return func(s int) float64 {
		if s >= from && s < to {
			return factor * fakeRate
		}
		return fakeRate
	}
}

// TestSteadyNumbers guards against orders where none helps: each case must leave the numbers as they are.
func TestSteadyNumbers(t *testing.T) {
	cases := []struct {
		name   string
		rate   func(int) float64
		change func(second int, o *Observation)
	}{
		{name: "usual load", rate: usual},
		{name: "no load", rate: func(int) float64 { return 0 }},
		{name: "lead without load", rate: between(0, 60, 0)},
		{name: "wave below the capacity", rate: wave(0.9)},
		{name: "list lost in an outage", rate: usual, change: func(s int, o *Observation) {
			if s >= 30 && s < 60 {
				o.ListKnown, o.Servers = false, nil
			}
		}},
		{name: "list not current under a doubled load", rate: between(30, 60, 2), change: func(s int, o *Observation) {
			o.ListKnown = s < 30
		}},
		{name: "half of the list lost in an outage that ends", rate: usual, change: func(s int, o *Observation) {
			if s >= 30 && s < 33 {
				o.ListKnown = s > 30
				o.Servers = o.Servers[:len(o.Servers)/2]
			}
		}},
		{name: "empty list of a store that answers", rate: usual, change: func(s int, o *Observation) {
			if s >= 30 && s < 45 {
				o.Servers = nil
			}
		}},
		{name: "data centre out of service under a doubled load", rate: between(30, 44, 2), change: func(s int, o *Observation) {
			if s >= 30 && s < 52 {
				o.OutOfService = []string{"b"}
			}
		}},
		{name: "other data centre out of service", rate: usual, change: func(_ int, o *Observation) { o.OutOfService = []string{"d"} }},
		{name: "quarter crashed", rate: usual, change: func(s int, o *Observation) {
			if s >= 30 && s < 45 {
				for i := range o.Servers {
					if i%4 == 0 {
						o.Servers[i].Crashed, o.Servers[i].Running = true, 0
					}
				}
			}
		}},
		{name: "quarter crashed and no longer listed", rate: usual, change: func(s int, o *Observation) {
			if s >= 30 && s < 45 {
				o.Servers = o.Servers[len(o.Servers)/4:]
			}
		}},
		{name: "rolling replacement at half of the load", rate: between(0, 1000, 0.5), change: func(s int, o *Observation) {
			o.Servers[s%len(o.Servers)].Draining = true
		}},
		{name: "demand unknown", rate: usual, change: func(s int, o *Observation) { o.DemandKnown = s < 30 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeService(c.rate)
			f.change = c.change
			f.run(60)
			assert.Equal(t, len(f.orders), 0, f)
		})
	}
}

// TestDoubling guards against an order for a lasting doubling that comes late, is too small or is taken back.
func TestDoubling(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.run(100)
	assert.Assert(t, len(f.orders) > 0 && f.orders[0].second <= 21, f)
	assert.Assert(t, f.total() >= 140 && f.total() <= 170, f)
	assert.Assert(t, f.falls() == 0, f)
}

// TestOverloadFromTheStart guards against a rise that waits for a history: the first seconds of load must suffice.
func TestOverloadFromTheStart(t *testing.T) {
	f := newFakeService(func(s int) float64 { return between(0, 14, 0)(s) * 2 })
	f.run(20)
	assert.Assert(t, len(f.orders) > 0 && f.orders[0].second >= 14 && f.orders[0].second <= 15, f)
	assert.Assert(t, f.total() >= 130, f)
}

// TestMoreThanTheLimit guards against orders beyond the limits.
func TestMoreThanTheLimit(t *testing.T) {
	f := newFakeService(between(20, 1000, 5))
	f.run(60)
	assert.DeepEqual(t, f.desired, map[string]int{"a": 60, "b": 60, "c": 60})
}

// TestShortBursts guards against backend servers that are paid for long after a burst, and against orders for later bursts
// of the same length, which end before the backend servers start.
func TestShortBursts(t *testing.T) {
	for _, seconds := range []int{3, 4, 5} {
		t.Run(fmt.Sprintf("%d s", seconds), func(t *testing.T) {
			f := newFakeService(between(30, 30+seconds, 1.7))
			f.run(60)
			assert.Assert(t, f.falls() > 0, f)
			assert.Equal(t, f.total(), 90, f)
			ordered := len(f.orders)
			f.rate = between(70, 70+seconds, 1.7)
			f.run(60)
			assert.Equal(t, len(f.orders), ordered, f)
		})
	}
}

// TestWithdrawalOfRunningServers guards against an order that takes back more backend servers although the platform removes
// running ones for it instead of those that start.
func TestWithdrawalOfRunningServers(t *testing.T) {
	f := newFakeService(between(30, 34, 1.7))
	f.removeRunning = true
	f.run(45)
	lowest, highest := 0, 0
	for _, total := range f.totals() {
		if total >= highest {
			highest, lowest = total, total
		}
		lowest = min(lowest, total)
	}
	assert.Assert(t, highest >= 110 && lowest >= highest-6, f)
}

// TestIdleServers guards against orders that follow from wrong expectations of the work of requests.
func TestIdleServers(t *testing.T) {
	f := newFakeService(func(s int) float64 { return between(0, 14, 0)(s) / 3 })
	f.cfg.Min = 30
	f.change = func(_ int, o *Observation) { o.Work *= 6 }
	f.run(60)
	assert.Equal(t, len(f.orders), 0, f)
}

// TestBurstAfterShortOnes guards against a load that never gets backend servers because earlier bursts were short.
func TestBurstAfterShortOnes(t *testing.T) {
	f := newFakeService(func(s int) float64 {
		if s >= 70 {
			return 1.7 * fakeRate
		}
		return between(30, 34, 1.7)(s)
	})
	f.run(100)
	ordered := len(f.orders)
	assert.Assert(t, ordered > 0 && f.orders[ordered-1].second >= 70 && f.total() >= 120, f)
	first := 0
	for _, o := range f.orders {
		if o.second >= 70 {
			first = o.second
			break
		}
	}
	assert.Assert(t, first <= 78, f)
}

// TestWaves guards against numbers that follow a wave up and down: its peak must be provided for before it comes, and stay
// so.
func TestWaves(t *testing.T) {
	f := newFakeService(wave(1.2))
	f.run(40)
	assert.Assert(t, f.total() >= 105, f)
	falls := f.falls()
	assert.Assert(t, falls <= 4, f) // The first peak looks like a burst, whose order is taken back in steps.
	f.run(200)
	assert.Equal(t, f.falls(), falls, f)
	assert.Assert(t, f.total() <= 130, f)
}

// TestSlowSwing guards against numbers that go up and down with a load that swings over longer times than the hold time.
func TestSlowSwing(t *testing.T) {
	f := newFakeService(func(s int) float64 { return fakeRate * (1.1 + 0.7*math.Sin(2*math.Pi*float64(s)/120)) })
	f.run(1200)
	early := f.falls()
	f.run(1200)
	assert.Assert(t, f.falls()-early <= 6, "%d falls in the first half, %d in all: %v", early, f.falls(), f)
}

// TestFall guards against a reduction that comes before the hold time, removes too many at a time, or goes below the limits
// or what is busy.
func TestFall(t *testing.T) {
	f := newFakeService(between(40, 1000, 0.3))
	f.cfg.Min = 10
	f.run(60)
	assert.Equal(t, len(f.orders), 0, f)
	f.run(140)
	assert.Assert(t, f.total() >= 30 && f.total() <= 50, f)
	before := 90
	totals := f.totals()
	for second, total := range totals {
		assert.Assert(t, total >= before-9 && total <= before, "from %d to %d in second %d: %v", before, total, second, f)
		before = total
	}
	assert.Equal(t, f.waiting, 0.0, f)
}

// TestFallToTheLimit guards against an order below the minimum of a data centre.
func TestFallToTheLimit(t *testing.T) {
	f := newFakeService(between(40, 1000, 0.02))
	f.run(400)
	for _, o := range f.orders {
		assert.Assert(t, o.Desired >= 26, f)
	}
}

// TestBusyServersStay guards against a reduction below what the running and the waiting requests occupy, when the expected
// work of the arrivals says that fewer suffice.
func TestBusyServersStay(t *testing.T) {
	f := newFakeService(between(40, 1000, 0.02))
	f.cfg.Min = 1
	f.change = func(_ int, o *Observation) {
		for i := range o.Servers {
			o.Servers[i].Running = 4
		}
	}
	f.run(40)
	early := f.falls()
	f.run(160)
	assert.Equal(t, f.falls(), early, f)
}

// TestServersOfUnlikeSpeed guards against a number that follows from the count of backend servers instead of their speed.
func TestServersOfUnlikeSpeed(t *testing.T) {
	list := func(fast, slow int) []Server {
		var servers []Server
		for i := range fast + slow {
			s := Server{DataCentre: "a", Slots: 4, UnitMS: 1}
			if i >= fast {
				s.UnitMS = 4.4
			}
			servers = append(servers, s)
		}
		return servers
	}
	fast, mixed, slow := newCapacity(list(30, 0)), newCapacity(list(20, 10)), newCapacity(list(0, 30))
	load := 20_000.0
	assert.Assert(t, fast.serversFor(load) < mixed.serversFor(load) && mixed.serversFor(load) < slow.serversFor(load))
	assert.Assert(t, float64(slow.serversFor(load)) > 3*float64(fast.serversFor(load)))
	// The fastest may leave, so that fewer can be removed than of the average speed.
	load = 50_000
	assert.Assert(t, mixed.removable(30, load) < 30-mixed.serversFor(load))
	assert.Assert(t, mixed.removable(30, load) > 0)
}

// TestUnknownSpeed guards against a decision from a speed that nobody measured.
func TestUnknownSpeed(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.change = func(_ int, o *Observation) {
		for i := range o.Servers {
			o.Servers[i].UnitMS = 0
		}
	}
	f.run(60)
	assert.Equal(t, len(f.orders), 0, f)
	assert.Equal(t, f.reasons[59], HoldSpeed)
}

// TestWrongExpectation guards against numbers that follow callers' wrong hints: the work that backend servers do corrects
// them.
func TestWrongExpectation(t *testing.T) {
	f := newFakeService(usual)
	f.change = func(_ int, o *Observation) { o.Work *= 0.5 }
	f.run(60)
	assert.Equal(t, len(f.orders), 0, f)
	f.rate = between(60, 1000, 2)
	f.run(20)
	assert.Assert(t, f.total() >= 140, f)
}

// TestHistoryIsBounded guards against memory that grows with time.
func TestHistoryIsBounded(t *testing.T) {
	f := newFakeService(func(s int) float64 { return between(30, 34, 1.7)(s % 60) })
	f.run(2000)
	assert.Assert(t, len(f.history.samples) <= historyLength)
	assert.Assert(t, len(f.history.shortSurges) <= maxSurgeCount)
	for _, z := range f.history.zones {
		assert.Assert(t, len(z.recent) <= 35)
	}
}
