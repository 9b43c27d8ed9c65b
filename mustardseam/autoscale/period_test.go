package autoscale

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeriod guards against periods that are missed and against periods seen in loads without one.
func TestPeriod(t *testing.T) {
	cases := []struct {
		name     string
		load     func(s int) float64
		samples  int
		from, to int // Bounds of the period; 0 for none.
	}{
		{"constant", func(int) float64 { return 262 }, 100, 0, 0},
		{"period of 10 s", wave(1), 40, 9, 11},
		{"period of 25 s", func(s int) float64 { return 262 * (1 + 0.3*math.Sin(2*math.Pi*float64(s)/25)) }, 90, 23, 27},
		{"two periods only", wave(1), 19, 0, 0},
		{"two bursts", func(s int) float64 { return between(20, 24, 1.7)(s % 30) }, 60, 0, 0},
		{"one step", between(30, 1000, 2), 60, 0, 0},
		{"none arrive", func(int) float64 { return 0 }, 60, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			var arrived []float64
			for s := range c.samples {
				arrived = append(arrived, c.load(s)+math.Sqrt(c.load(s)/2)*random.NormFloat64())
			}
			p := period(arrived)
			assert.Assert(t, p >= c.from && p <= c.to, "period %d", p)
		})
	}
}

// TestForecast guards against a forecast of another phase than the asked one.
func TestForecast(t *testing.T) {
	var load []float64
	for s := range 40 {
		load = append(load, float64(s%10))
	}
	// The latest sample has phase 9; 8 to 9 s later the phases are 7 and 8.
	assert.Equal(t, forecast(load, 10, 8*time.Second, 9*time.Second), 8.0)
	assert.Equal(t, forecast(load, 10, time.Second, 2*time.Second), 1.0)
	assert.Equal(t, forecast(load, 0, time.Second, 2*time.Second), 0.0)
}
