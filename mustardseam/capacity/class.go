package capacity

import "time"

const (
	// defaultPrefill is the speed, in tokens per second, that is assumed before the first answer.
	defaultPrefill = 8000
	// defaultBase is the fixed part of the time to first token that is assumed before the first answer.
	defaultBase = 20 * time.Millisecond
	// defaultBetween is the time between tokens that is assumed before the first answer.
	defaultBetween = 40 * time.Millisecond
	// evenPrefill is the number of computed prompt tokens from which a time to first token tells more of the prefill
	// speed than of the fixed part.
	evenPrefill = 500
	// medianStep is the relative step of the running medians. A median is used because a mean would follow the slow
	// servers that it has to reveal.
	medianStep = 0.03
	// minEvidence is the number of answers after which speeds are used for verdicts.
	minEvidence = 20
)

// Class is what is learned together for all backend servers of one version and hardware generation.
type Class struct {
	Servers     int // Members, set by the owner.
	slow        int // Members in probation for being slow.
	answers     int
	prefill     float64 // Tokens per second.
	base        float64 // Seconds to the first token without prefill.
	between     float64 // Seconds between tokens.
	concurrency float64 // Requests that a member runs at a time; 0 while unknown.
}

// NewClass returns a class with the assumed speeds.
func NewClass() *Class {
	return &Class{prefill: defaultPrefill, base: defaultBase.Seconds(), between: defaultBetween.Seconds()}
}

// Prefill returns the prefill speed in tokens per second.
func (c *Class) Prefill() float64 { return c.prefill }

// Base returns the time to first token without prefill.
func (c *Class) Base() time.Duration { return seconds(c.base) }

// Between returns the time between tokens.
func (c *Class) Between() time.Duration { return seconds(c.between) }

// Known reports whether enough answers have been seen to rely on the speeds.
func (c *Class) Known() bool { return c.answers >= minEvidence }

// Service returns the expected duration of a request of the given size, in tokens, without queueing.
func (c *Class) Service(prefill, decode int) time.Duration {
	return seconds(c.base + float64(prefill)/c.prefill + float64(max(0, decode-1))*c.between)
}

// observe learns speeds and returns how many times slower than the class the answer was.
func (c *Class) observe(s Sample) float64 {
	slow := 0.0
	if s.Between > 0 && s.Output > 1 {
		slow = s.Between.Seconds() / c.between
		step(&c.between, s.Between.Seconds(), c.answers)
	}
	if s.First > 0 {
		// Other prompts inside the server vary the first token more than the later ones, hence the half.
		expected := c.base + s.prefill()/c.prefill
		slow = max(slow, s.First.Seconds()/expected/2)
		c.learnFirst(s)
	}
	c.answers++
	return slow
}

// learnFirst splits the time to first token into prefill and a fixed part by median regression: each part moves by the
// sign of the error and by its weight in the answer. Speeds of single answers are not averaged, because one that beats
// the fixed part would show an unbounded speed.
func (c *Class) learnFirst(s Sample) {
	weight := s.prefill() / (s.prefill() + evenPrefill)
	rel := medianStep
	if c.answers < minEvidence {
		rel = 0.25
	}
	if s.First.Seconds() < c.base+s.prefill()/c.prefill {
		rel = -rel
	}
	c.prefill /= 1 + rel*weight
	c.base = max(1e-4, c.base*(1+rel*(1-weight)))
}

// step moves a running median towards the value; the first values move it faster.
func step(median *float64, v float64, n int) {
	rel := medianStep
	if n < minEvidence {
		rel = 0.25
	}
	if v > *median {
		*median = min(*median*(1+rel), v)
	} else {
		*median = max(*median*(1-rel), v)
	}
}

// limit returns the learned number of requests at a time, or the given one while none is known.
func (c *Class) limit(configured int) int {
	if c.concurrency < 1 {
		return configured
	}
	return min(configured, int(c.concurrency))
}

// reported learns from a warm load report how many requests a member really runs at a time; queued tells that
// requests have been waiting inside the member for several reports.
func (c *Class) reported(r Reading, queued bool) {
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
