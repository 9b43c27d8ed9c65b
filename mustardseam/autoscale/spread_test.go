package autoscale

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSpread guards against uneven data centres, numbers beyond the limits and changes that nobody asked for.
func TestSpread(t *testing.T) {
	cfg := Config{Min: 26, Max: 60}
	cases := []struct {
		name    string
		inForce map[string]int
		total   int
		want    map[string]int
	}{
		{"no change", map[string]int{"a": 10, "b": 70}, 80, map[string]int{"a": 10, "b": 70}},
		{"rise", map[string]int{"a": 30, "b": 30, "c": 30}, 94, map[string]int{"a": 32, "b": 31, "c": 31}},
		{"rise of the lowest", map[string]int{"a": 40, "b": 30}, 75, map[string]int{"a": 40, "b": 35}},
		{"maximum", map[string]int{"a": 59, "b": 59}, 200, map[string]int{"a": 60, "b": 60}},
		{"fall", map[string]int{"a": 40, "b": 30, "c": 30}, 92, map[string]int{"a": 32, "b": 30, "c": 30}},
		{"minimum", map[string]int{"a": 27, "b": 30}, 0, map[string]int{"a": 26, "b": 26}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, spread(cfg, c.inForce, c.total), c.want) })
	}
}
