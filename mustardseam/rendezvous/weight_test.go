package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFractionUniform guards against weights of similar names that are close together, with which one instance would get
// most of the keys.
func TestFractionUniform(t *testing.T) {
	const instances, keys = 8, 4000
	for n := range instances {
		sum, quarters := 0.0, [4]int{}
		for k := range keys {
			f := Fraction(fmt.Sprintf("i-%d", k), fmt.Sprintf("front-%d", n))
			assert.Assert(t, f >= 0 && f < 1)
			sum += f
			quarters[int(f*4)]++
		}
		// Six standard deviations of a uniform distribution.
		assert.Assert(t, sum/keys > 0.472 && sum/keys < 0.528, "mean %f", sum/keys)
		for _, q := range quarters {
			assert.Assert(t, q > 835 && q < 1165, "%d of %d in a quarter", q, keys)
		}
	}
}
