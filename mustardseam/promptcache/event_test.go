package promptcache

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEvents guards against events that are applied twice or after a newer one, a restart that is not noticed, and a gap
// after which nothing is known any more.
func TestEvents(t *testing.T) {
	tests := []struct {
		name   string
		events []Events
		kept   int // Tokens of parts 1 and 2, both of which the engine had read.
	}{
		{"none", []Events{{Epoch: 7, Next: 5}}, 200},
		{"evicted", []Events{{Epoch: 7, Next: 6, List: []Event{{Number: 5, Part: 2}}}}, 100},
		{"evicted and read again", []Events{{Epoch: 7, Next: 7, List: []Event{
			{Number: 5, Part: 2}, {Number: 6, Part: 2, Tokens: 100},
		}}}, 200},
		{"partly evicted", []Events{{Epoch: 7, Next: 6, List: []Event{{Number: 5, Part: 1, Tokens: 30}}}}, 30},
		{"repeated", []Events{
			{Epoch: 7, Next: 7, List: []Event{{Number: 5, Part: 2}, {Number: 6, Part: 2, Tokens: 100}}},
			{Epoch: 7, Next: 7, List: []Event{{Number: 5, Part: 2}}},
		}, 200},
		{"gap", []Events{
			{Epoch: 7, Next: 6, List: []Event{{Number: 5, Part: 3, Tokens: 100}}},
			{Epoch: 7, Next: 90, List: []Event{{Number: 88, Part: 2}}},
		}, 100},
		{"restart", []Events{{Epoch: 7, Next: 5}, {Epoch: 8, Next: 1}}, 0},
		{"restart with lower numbers", []Events{
			{Epoch: 7, Next: 50},
			{Epoch: 8, Next: 2, List: []Event{{Number: 1, Part: 1, Tokens: 100}}},
		}, 100},
		{"implausible", []Events{{Epoch: 7, Next: 6, List: []Event{{Number: 5, Part: 2, Tokens: 1 << 40}}}}, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := New(Config{})
			e := x.Add(500)
			x.Read(e, prompt(1, 2), 0)
			for _, events := range test.events {
				x.Observe(e, events)
				checkConsistency(t, x, []*Engine{e})
			}
			assert.Equal(t, keptBothWays(t, x, e, prompt(1, 2)), test.kept)
		})
	}
}

// TestCompleteList guards against parts that stay recorded although a complete list lacks them.
func TestCompleteList(t *testing.T) {
	x := New(Config{})
	e := x.Add(500)
	x.Read(e, prompt(1, 2), 0)
	x.Replace(e, 3, 40, prompt(4, 1))
	assert.Equal(t, keptBothWays(t, x, e, prompt(1, 2)), 100)
	assert.Equal(t, keptBothWays(t, x, e, prompt(4)), 100)
	x.Observe(e, Events{Epoch: 3, Next: 40, List: []Event{{Number: 39, Part: 4}}})
	assert.Equal(t, keptBothWays(t, x, e, prompt(4)), 100, "the event is older than the list")
}
