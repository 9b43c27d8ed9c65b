package capacity

import "time"

const (
	// defaultPrefill is the prefill speed assumed before the first answer, in tokens per second.
	defaultPrefill = 8000
	// defaultBase is the fixed part of the time to first token assumed before the first answer.
	defaultBase = 20 * time.Millisecond
	// defaultInterToken is the time between tokens assumed before the first answer.
	defaultInterToken = 40 * time.Millisecond
	// balancedPrefill is the number of computed prompt tokens at which a time to first token carries equal weight for
	// the prefill speed and for the fixed part.
	balancedPrefill = 500
	// medianStep is the relative step of the running medians. Medians are used because a mean would follow the slow
	// servers that it is meant to reveal.
	medianStep = 0.03
	// minAnswers is the number of answers after which the learned speeds are used in decisions.
	minAnswers = 20
)

// Class holds the speeds and the concurrency learned from all backend servers of one version and hardware generation.
type Class struct {
	MemberCount int     // Number of servers in the class, set by the owner.
	slowMembers int     // Number of servers in probation for slowness.
	answers     int     // Number of answers observed.
	prefill     float64 // Prefill speed in tokens per second.
	base        float64 // Time to first token without prefill, in seconds.
	interToken  float64 // Time between tokens, in seconds.
	concurrency float64 // Requests that a server runs concurrently; 0 while unknown.
}

// NewClass returns a class with default speeds.
func NewClass() *Class {
	return &Class{prefill: defaultPrefill, base: defaultBase.Seconds(), interToken: defaultInterToken.Seconds()}
}

// PrefillSpeed returns the prefill speed in tokens per second.
func (c *Class) PrefillSpeed() float64 { return c.prefill }

// BaseLatency returns the time to first token without prefill.
func (c *Class) BaseLatency() time.Duration { return seconds(c.base) }

// InterToken returns the time between tokens.
func (c *Class) InterToken() time.Duration { return seconds(c.interToken) }

// SpeedsKnown reports whether enough answers have been observed to rely on the speeds.
func (c *Class) SpeedsKnown() bool { return c.answers >= minAnswers }

// ServiceTime returns the expected duration without queueing of a request with the given prefill and decode tokens.
func (c *Class) ServiceTime(prefill, decode int) time.Duration {
	return seconds(c.base + float64(prefill)/c.prefill + float64(max(0, decode-1))*c.interToken)
}

// observe updates the speeds from an answer and returns its slowdown relative to the class, or 0 if it is unknown.
func (c *Class) observe(s Sample) float64 {
	slowness := 0.0
	if s.InterToken > 0 && s.OutputTokens > 1 {
		slowness = s.InterToken.Seconds() / c.interToken
		stepMedian(&c.interToken, s.InterToken.Seconds(), c.answers)
	}
	if s.FirstToken > 0 {
		// Halved because other prompts inside the server delay the first token more than the later ones.
		expected := c.base + s.prefillTokens()/c.prefill
		slowness = max(slowness, s.FirstToken.Seconds()/expected/2)
		c.learnFirstToken(s)
	}
	c.answers++
	return slowness
}

// learnFirstToken splits the time to first token into prefill and a fixed part by median regression: each part moves by
// the sign of the error, scaled by its weight in the answer. The speeds of single answers are not averaged, because an
// answer that takes less than the fixed part would imply an unbounded speed.
func (c *Class) learnFirstToken(s Sample) {
	weight := s.prefillTokens() / (s.prefillTokens() + balancedPrefill)
	step := medianStep
	if c.answers < minAnswers {
		step = 0.25
	}
	if s.FirstToken.Seconds() < c.base+s.prefillTokens()/c.prefill {
		step = -step
	}
	c.prefill /= 1 + step*weight
	c.base = max(1e-4, c.base*(1+step*(1-weight)))
}

// stepMedian moves a running median towards the value v. The first minAnswers values use a larger step.
func stepMedian(median *float64, v float64, n int) {
	step := medianStep
	if n < minAnswers {
		step = 0.25
	}
	if v > *median {
		*median = min(*median*(1+step), v)
	} else {
		*median = max(*median*(1-step), v)
	}
}

// effectiveLimit returns the lower of the configured limit and the learned concurrency, or the configured limit while
// the concurrency is unknown.
func (c *Class) effectiveLimit(configured int) int {
	if c.concurrency < 1 {
		return configured
	}
	return min(configured, int(c.concurrency))
}

// learnConcurrency updates the concurrency from the load report of a warm server. The argument queued is true if
// requests have been queued inside the server for several reports.
func (c *Class) learnConcurrency(r LoadReport, queued bool) {
	running := float64(r.Running)
	switch {
	case queued && r.Running > 0:
		if c.concurrency == 0 {
			c.concurrency = float64(r.total())
		}
		c.concurrency = max(1, c.concurrency+0.3*(running-c.concurrency))
	case r.Waiting == 0 && c.concurrency > 0 && running >= float64(int(c.concurrency)):
		c.concurrency = max(running, c.concurrency+0.1)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
