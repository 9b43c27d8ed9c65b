package rollout

import (
	"flag"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

var start = time.Unix(1_700_000_000, 0)

// The seed is fixed so that the result of a test depends only on the code.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

// traffic simulates a route during a rollout in virtual time, with response times that differ by a factor of 100, an
// oscillating load, and disturbances that affect both versions equally.
type traffic struct {
	rand           *rand.Rand
	rate           float64       // Requests per second.
	window         time.Duration // Time from the start of the rollout to its deadline.
	fault          func(at time.Duration, load int) (failures, slowdown float64)
	loadOffset     int       // Number of load buckets by which the new version's servers are above the old one's.
	now            time.Time // Virtual time.
	disturbedUntil time.Time // End of the latest disturbance.
	analyzer       *Analyzer
	rec            Record
	stepRequests   [2]int // Requests in the current step to the old and to the new version.
	targetRequests int    // Requests to the new version.
	canaryRequests int    // Requests to the new version at the canary share.
}

func newTraffic(seed uint64, fault func(time.Duration, int) (float64, float64)) *traffic {
	t := &traffic{
		rand: rand.New(rand.NewPCG(seed, 2)), rate: 20, window: 20 * time.Minute, fault: fault, now: start,
	}
	t.rec = NewRecord(start, operator.Route{Name: "m", Version: "old", Rollout: &operator.Rollout{
		ID: "r1", To: "new", CanaryShare: 0.01, Start: start, Deadline: start.Add(t.window),
	}})
	t.analyzer = NewAnalyzer(AnalyzerConfig{Route: "m", Old: "old", New: "new"})
	return t
}

// run sends requests until the rollout ends or twice its window has passed.
func (t *traffic) run() {
	next := t.now
	for t.rec.InProgress() && t.now.Sub(start) < 2*t.window {
		t.now = t.now.Add(time.Duration(t.rand.ExpFloat64() / t.rate * float64(time.Second)))
		v := t.analyzer.Observe(t.now, t.nextSample())
		if v.Decision != Bad && t.now.Before(next) {
			continue
		}
		next = t.now.Add(500 * time.Millisecond)
		changed := false
		if t.rec, changed = Advance(t.now, t.rec, v); !changed {
			t.rec, changed = MarkLate(t.now, t.rec)
		}
		if changed {
			t.analyzer.SetStep(t.now, t.rec.Step)
			t.stepRequests = [2]int{}
		}
	}
}

// nextSample returns the outcome of the next request; each version gets exactly its share of the requests.
func (t *traffic) nextSample() Sample {
	at := t.now.Sub(start)
	load := t.load(at)
	s := Sample{Version: "old"}
	failures, slowdown := t.disturbance()
	if float64(t.stepRequests[1]) < t.rec.Share*float64(t.stepRequests[0]+t.stepRequests[1]+1) {
		s.Version = "new"
		t.targetRequests++
		t.stepRequests[1]++
		if t.rec.Step == 0 {
			t.canaryRequests++
		}
		load = min(load+t.loadOffset, LoadBuckets-1)
		f, d := t.fault(at, load)
		failures, slowdown = 1-(1-failures)*(1-f), slowdown*d
	} else {
		t.stepRequests[0]++
	}
	s.LoadBucket, s.OK = load, t.rand.Float64() >= failures
	slow := slowdown * (1 + 0.3*float64(load))
	s.FirstToken = time.Duration(200e6 * slow * math.Exp(t.rand.NormFloat64()))
	s.InterToken = time.Duration(30e6 * slow * math.Exp(0.25*t.rand.NormFloat64()))
	return s
}

// load returns a load bucket that oscillates between idle and full with a period of two minutes.
func (t *traffic) load(at time.Duration) int {
	swing := 3.5 + 3.5*math.Sin(2*math.Pi*at.Seconds()/120) + t.rand.NormFloat64()
	return int(min(max(swing, 0), LoadBuckets-1))
}

// disturbance returns the failure rate and slowdown of both versions. A disturbance comes every two minutes on average and
// lasts 15 s, in which responses take three times as long and one in five fails.
func (t *traffic) disturbance() (failures, slowdown float64) {
	if t.now.After(t.disturbedUntil) && t.rand.Float64() < 1/(120*t.rate) {
		t.disturbedUntil = t.now.Add(15 * time.Second)
	}
	if t.now.Before(t.disturbedUntil) {
		return 0.2, 3
	}
	return 0.01, 1
}

func healthy(time.Duration, int) (failures, slowdown float64) { return 0, 1 }
