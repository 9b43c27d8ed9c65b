package store

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func changedKeys(items []Item) []string {
	out := []string{}
	for _, i := range items {
		if i.Deleted {
			out = append(out, "-"+i.Key)
		} else {
			out = append(out, i.Key)
		}
	}
	return out
}

// TestReplicaIgnoresOutdatedItems guards against outdated items that replace newer ones or restore deleted keys. They
// arrive when several instances relay changes.
func TestReplicaIgnoresOutdatedItems(t *testing.T) {
	replica := NewReplica(testReplicaConfig)
	assert.DeepEqual(t, changedKeys(replica.Reset([]Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 5}}, Position{Revision: 5})), []string{"a", "b"})
	tests := []struct {
		name     string
		items    []Item
		revision int64
		changed  []string
	}{
		{"repeat", []Item{{Key: "b", Revision: 5}}, 5, []string{}},
		{"older", []Item{{Key: "b", Revision: 4}}, 5, []string{}},
		{"newer", []Item{{Key: "b", Revision: 6}}, 6, []string{"b"}},
		{"deleted", []Item{{Key: "a", Revision: 7, Deleted: true}}, 7, []string{"-a"}},
		{"older than the deletion", []Item{{Key: "a", Revision: 3}}, 7, []string{}},
		{"made again", []Item{{Key: "a", Revision: 8}}, 8, []string{"a"}},
		{"unknown deleted", []Item{{Key: "z", Revision: 9, Deleted: true}}, 9, []string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, changedKeys(replica.Apply(test.items, test.revision)), test.changed)
			assert.Equal(t, replica.Position().Revision, test.revision)
		})
	}
	t.Run("list", func(t *testing.T) {
		// Key c was written while the list was read: the revision of the list, that of its first page, is older than the item.
		assert.DeepEqual(t, changedKeys(replica.Reset([]Item{{Key: "a", Revision: 8}, {Key: "c", Revision: 11}}, Position{Revision: 10})),
			[]string{"c", "-b"})
	})
	t.Run("after", func(t *testing.T) {
		items, whole := replica.After(Position{Revision: 8})
		assert.Assert(t, !whole)
		assert.DeepEqual(t, changedKeys(items), []string{"c", "-b"})
		items, whole = replica.After(Position{Revision: 0})
		assert.Assert(t, whole)
		assert.Assert(t, cmp.Len(items, 2))
	})
}

// TestReplicaAfterLogTruncation guards against missing changes when the log does not reach back to the requested revision.
func TestReplicaAfterLogTruncation(t *testing.T) {
	replica := NewReplica(testReplicaConfig)
	for i := range 2 * maxLogLength {
		replica.Apply([]Item{{Key: fmt.Sprintf("k%d", i%10), Revision: int64(i + 1)}}, int64(i+1))
	}
	_, whole := replica.After(Position{Revision: 5})
	assert.Assert(t, whole)
	items, whole := replica.After(Position{Revision: 2*maxLogLength - 3})
	assert.Assert(t, !whole)
	assert.Assert(t, cmp.Len(items, 3))
}

// TestTombstonesStayBounded guards against memory that grows with each deletion of a key, also of one that was never known.
func TestTombstonesStayBounded(t *testing.T) {
	for _, known := range []bool{true, false} {
		r := NewReplica(testReplicaConfig)
		for n := range 3 * maxTombstones {
			key, revision := fmt.Sprintf("k%d", n), int64(2*n+1)
			if known {
				r.Apply([]Item{{Key: key, Revision: revision}}, revision)
			}
			r.Apply([]Item{{Key: key, Revision: revision + 1, Deleted: true}}, revision+1)
		}
		assert.Assert(t, len(r.tombstones) <= maxTombstones, "%d tombstones, known %v", len(r.tombstones), known)
	}
}
