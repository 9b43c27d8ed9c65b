package place

import "time"

const (
	// smoothing is the weight of a new measurement in a moving average.
	smoothing = 0.2
	// failSmoothing is the weight of an outcome in the share of failures.
	failSmoothing = 0.15
	// firstPause is how long a backend server is avoided after the first failed contact; it doubles up to maxPause. Crashed
	// ones are back after two to six seconds.
	firstPause = 400 * time.Millisecond
	maxPause   = 3 * time.Second
	// alive is how long after an answer a single failure does not count as a crash: a backend server that loses one answer in
	// twenty is still worth more than a queue at the others. After a crash the next connection fails, which counts at once.
	alive = time.Second
)

// account is what is known of one incarnation of a backend server.
type account struct {
	bias     float64              // Of this instance against the backend server, in [0, 1).
	full     time.Time            // It refused for want of room; no request until then.
	quiet    map[string]time.Time // Until when it wants nothing, by instance; the empty name is this one.
	untold   bool                 // The pace has changed since it was told.
	recent   int                  // Requests that this instance sent since the latest word of the others.
	freed    int                  // Requests of this instance that ended since then.
	draw     float64              // In [0, 1), another one with each word of the others; it rounds this instance's part of the slots.
	own      Load
	others   Load
	pace     average       // Milliseconds from token to token.
	latency  average       // Milliseconds to the whole answer, for services without streams.
	failures float64       // Share of answers that failed, 0 to 1.
	misses   int           // Failed contacts in a row.
	crashed  bool          // No connection could be made at the latest contact.
	avoid    time.Time     // No request until then, except when there is no other choice.
	word     time.Time     // Avoided until then by the word of others, which is not passed on as this instance's own.
	pause    time.Duration // Of the latest avoidance.
	answered time.Time     // Of the latest sign of life.
	used     time.Time     // Of the latest dispatch.
}

// avoided reports whether the backend server should get no request.
func (a *account) avoided(now time.Time) bool { return now.Before(a.avoid) || now.Before(a.word) }

// quietFor returns for how long the backend server wants nothing from the instance that sends a job.
func (a *account) quietFor(now time.Time, j *Job) time.Duration { return a.quiet[j.Instance].Sub(now) }

// hush takes in that the backend server wants nothing from an instance for some time.
func (a *account) hush(now time.Time, instance string, d time.Duration) {
	if a.quiet == nil {
		a.quiet = map[string]time.Time{}
	}
	for name, until := range a.quiet {
		if !until.After(now) {
			delete(a.quiet, name)
		}
	}
	if until := now.Add(d); until.After(a.quiet[instance]) {
		a.quiet[instance] = until
	}
}

// part returns the part of the load that a job belongs to.
func (a *account) part(j *Job) *Load {
	if j.Instance != "" {
		return &a.others
	}
	return &a.own
}

func (a *account) load() Load { return a.own.Plus(a.others) }

// miss takes in a contact that failed: no connection, or else a reset or silence.
func (a *account) miss(now time.Time, connected bool) {
	a.misses++
	a.crashed = !connected
	a.failures += failSmoothing * (1 - a.failures)
	if connected && a.misses == 1 && now.Sub(a.answered) < alive {
		return
	}
	a.pause = min(max(firstPause, 2*a.pause), maxPause)
	a.avoid = now.Add(a.pause)
}

// answer takes in an answer, good or failed.
func (a *account) answer(now time.Time, ok bool) {
	a.answered, a.crashed = now, false
	if ok {
		a.misses, a.pause, a.avoid, a.word = 0, 0, time.Time{}, time.Time{}
		a.failures -= failSmoothing * a.failures
		return
	}
	a.failures += failSmoothing * (1 - a.failures)
}

// average is a moving average; its zero value has seen nothing.
type average struct {
	value float64
	n     int
}

func (a *average) add(v float64) {
	a.n++
	w := max(smoothing, 1/float64(a.n))
	a.value += w * (v - a.value)
}

// or returns the average, or another value when nothing was seen.
func (a *average) or(v float64) float64 {
	if a.n == 0 {
		return v
	}
	return a.value
}
