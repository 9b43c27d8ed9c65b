package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

const (
	// averageSmoothing is the weight of a new measurement in a moving average.
	averageSmoothing = 0.2
	// serviceSmoothing is that weight in the averages of a service. It spans the measurements of many backend servers, because a
	// few of them show the speed of the latest ones only, which is no measure for the others.
	serviceSmoothing = 0.01
	// failureSmoothing is the weight of an outcome in the failure rate.
	failureSmoothing = 0.15
	// firstAvoidance is how long a backend server is avoided after the first failed attempt. It doubles with each further
	// failure up to maxAvoidance. Crashed backend servers are back after two to six seconds.
	firstAvoidance = 400 * time.Millisecond
	maxAvoidance   = 3 * time.Second
	// singleLossGrace is how long after an answer a single failure does not count as a crash: a backend server that loses
	// one answer in twenty is still better than a queue at the others. After a crash the next connection attempt fails,
	// which counts immediately.
	singleLossGrace = time.Second
)

// serverState is the known state of one incarnation of a backend server.
type serverState struct {
	costOffset          float64              // Fixed pseudo-random factor of the cost that this instance adds, in [0, 1).
	fullUntil           time.Time            // End of the pause after a refusal for lack of room; no requests before it.
	backoffUntil        map[string]time.Time // End of a requested backoff, by instance; the empty name is this instance.
	interTokenChanged   bool                 // The inter-token latency has changed since it was last reported.
	sentSinceReport     int                  // Requests that this instance sent since the latest report from the others.
	endedSinceReport    int                  // Requests of this instance that ended since that report.
	shareDither         float64              // In [0, 1), dithers the rounding of the share of slots; changes with each report.
	own                 Load                 // Load that this instance has sent.
	others              Load                 // Load that the other instances have sent.
	interToken          average              // Inter-token latency in milliseconds.
	latency             average              // Milliseconds to the complete answer, for services without streams.
	failureRate         float64              // Smoothed share of requests that failed, 0 to 1.
	consecutiveFailures int                  // Number of failed attempts since the latest success.
	connectFailed       bool                 // No connection could be made at the latest attempt.
	avoidUntil          time.Time            // No requests before this time unless there is no other choice.
	reportedAvoidUntil  time.Time            // Like avoidUntil, from reports of others; not forwarded to other instances.
	avoidFor            time.Duration        // Length of the latest avoidance.
	lastAnswer          time.Time            // Time at which the backend server last responded in any way.
	lastDispatch        time.Time            // Time of the latest dispatch.
	engine              *promptcache.Engine  // What its prompt cache keeps; nil if that is not recorded.
	listIndex           int                  // Position in the list of candidates from which it was last chosen.
}

// avoided reports whether the backend server gets no requests because of failures.
func (st *serverState) avoided(now time.Time) bool {
	return now.Before(st.avoidUntil) || now.Before(st.reportedAvoidUntil)
}

// backoffLeft returns the time left of the backoff that the backend server requested from the instance of a job.
func (st *serverState) backoffLeft(now time.Time, j *Job) time.Duration {
	return st.backoffUntil[j.Instance].Sub(now)
}

// addBackoff records that the backend server asked an instance to send no requests for a time. It never shortens an
// earlier backoff.
func (st *serverState) addBackoff(now time.Time, instance string, d time.Duration) {
	if st.backoffUntil == nil {
		st.backoffUntil = map[string]time.Time{}
	}
	for name, until := range st.backoffUntil {
		if !until.After(now) {
			delete(st.backoffUntil, name)
		}
	}
	if until := now.Add(d); until.After(st.backoffUntil[instance]) {
		st.backoffUntil[instance] = until
	}
}

// loadFor returns the load that a job counts towards: own or others.
func (st *serverState) loadFor(j *Job) *Load {
	if j.Instance != "" {
		return &st.others
	}
	return &st.own
}

// load returns the sum of the loads of all instances.
func (st *serverState) load() Load { return st.own.Plus(st.others) }

// recordFailedAttempt records a request without an answer. connected tells a reset or a timeout from a connection that
// could not be made.
func (st *serverState) recordFailedAttempt(now time.Time, connected bool) {
	st.consecutiveFailures++
	st.connectFailed = !connected
	st.failureRate += failureSmoothing * (1 - st.failureRate)
	if connected && st.consecutiveFailures == 1 && now.Sub(st.lastAnswer) < singleLossGrace {
		return
	}
	st.avoidFor = min(max(firstAvoidance, 2*st.avoidFor), maxAvoidance)
	st.avoidUntil = now.Add(st.avoidFor)
}

// recordAnswer records an answer; ok tells whether it was successful.
func (st *serverState) recordAnswer(now time.Time, ok bool) {
	st.lastAnswer, st.connectFailed = now, false
	if ok {
		st.consecutiveFailures, st.avoidFor, st.avoidUntil, st.reportedAvoidUntil = 0, 0, time.Time{}, time.Time{}
		st.failureRate -= failureSmoothing * st.failureRate
		return
	}
	st.failureRate += failureSmoothing * (1 - st.failureRate)
}

// average is an exponential moving average; its zero value has no measurements.
type average struct {
	value float64
	count int // Number of measurements.
}

// add records a measurement.
func (a *average) add(v float64) { a.addWeighted(v, averageSmoothing) }

// addWeighted records a measurement with a weight, which is higher for the first ones.
func (a *average) addWeighted(v, weight float64) {
	a.count++
	a.value += max(weight, 1/float64(a.count)) * (v - a.value)
}

// valueOr returns the average, or v if there are no measurements.
func (a *average) valueOr(v float64) float64 {
	if a.count == 0 {
		return v
	}
	return a.value
}
