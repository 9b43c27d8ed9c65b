package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPrefillSpeedConverges guards against a learned prefill speed that diverges after some fast answers or does not
// recover from a wrong value. Waits inside the server vary the time to first token. The backlog of prompts at a server,
// by which servers are picked, is derived from this speed.
func TestPrefillSpeedConverges(t *testing.T) {
	const speed, base = 8000.0, 0.03
	for _, before := range []float64{defaultPrefill, 1000, 3e6} {
		c := NewClass()
		c.prefill = before
		if before > speed {
			c.base, c.answers = 0.27, minAnswers
		}
		rnd := rand.New(rand.NewPCG(1, 1))
		for range 4000 {
			prompt := 40 + rnd.IntN(3960)
			firstToken := base*2*rnd.Float64() + float64(prompt)/speed*(0.6+0.8*rnd.Float64())
			if rnd.IntN(10) == 0 {
				firstToken += rnd.Float64()
			}
			c.observe(Sample{
				OK: true, UncachedTokens: prompt, OutputTokens: 1,
				FirstToken: time.Duration(firstToken * float64(time.Second)),
			})
		}
		assert.Assert(t, c.PrefillSpeed() > speed/2 && c.PrefillSpeed() < speed*2,
			"prefill speed %.0f from %.0f", c.PrefillSpeed(), before)
		assert.Assert(t, c.BaseLatency() < 100*time.Millisecond, "base %v from %.0f", c.BaseLatency(), before)
	}
}
