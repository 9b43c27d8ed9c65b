package usage

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecordMerge guards against the loss or the change of a sealed window when records of different instances are merged.
func TestRecordMerge(t *testing.T) {
	counts := func(n int64) map[string]int64 { return map[string]int64{"a": n} }
	tests := []struct {
		name          string
		known, stored []Sealed
		want          []Sealed
	}{
		{
			"new window",
			[]Sealed{{Window: 1, Counts: counts(1)}},
			[]Sealed{{Window: 2, Counts: counts(2)}},
			[]Sealed{{Window: 1, Counts: counts(1)}, {Window: 2, Counts: counts(2)}},
		},
		{"accepted meanwhile", []Sealed{{Window: 1, Counts: counts(1)}}, []Sealed{{Window: 1, Accepted: true}}, []Sealed{{Window: 1, Accepted: true}}},
		{"accepted before", []Sealed{{Window: 1, Accepted: true}}, []Sealed{{Window: 1, Counts: counts(1)}}, []Sealed{{Window: 1, Accepted: true}}},
		{"dropped elsewhere", []Sealed{{Window: 1, Counts: counts(1)}}, []Sealed{{Window: 1, Dropped: true}}, []Sealed{{Window: 1, Counts: counts(1)}}},
		{"too old", []Sealed{{Window: 1, Counts: counts(1)}}, []Sealed{{Window: 13, Accepted: true}}, []Sealed{{Window: 13, Accepted: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, Record{}.With(test.known...).With(test.stored...).Windows, test.want)
		})
	}
}

// TestRecordFitsIntoTheStore guards against a record that the store refuses for its size, so that no window is sealed any more.
func TestRecordFitsIntoTheStore(t *testing.T) {
	r := Record{}.With(
		Sealed{Window: 1, Counts: map[string]int64{"team-with-a-long-name": 1}}, Sealed{Window: 2, Counts: map[string]int64{"team-with-a-long-name": 2}},
	)
	_, all, err := r.Encode(0)
	assert.NilError(t, err)
	short, b, err := r.Encode(len(all) - 1)
	assert.NilError(t, err)
	assert.Assert(t, len(b) < len(all))
	assert.DeepEqual(t, short.Windows, []Sealed{{Window: 1, Dropped: true}, r.Windows[1]})
	back, err := DecodeRecord(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, short)
}
