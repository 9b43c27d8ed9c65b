package store

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func keys(items []Item) []string {
	out := []string{}
	for _, i := range items {
		if i.Gone {
			out = append(out, "-"+i.Key)
		} else {
			out = append(out, i.Key)
		}
	}
	return out
}

// TestCopy guards against old items that replace newer ones or bring deleted keys back, as they come when several
// instances pass changes on.
func TestCopy(t *testing.T) {
	c := NewCopy()
	assert.DeepEqual(t, keys(c.Reset([]Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 5}}, 5)), []string{"a", "b"})
	tests := []struct {
		name     string
		items    []Item
		revision int64
		fresh    []string
	}{
		{"repeat", []Item{{Key: "b", Revision: 5}}, 5, []string{}},
		{"older", []Item{{Key: "b", Revision: 4}}, 5, []string{}},
		{"newer", []Item{{Key: "b", Revision: 6}}, 6, []string{"b"}},
		{"deleted", []Item{{Key: "a", Revision: 7, Gone: true}}, 7, []string{"-a"}},
		{"older than the deletion", []Item{{Key: "a", Revision: 3}}, 7, []string{}},
		{"made again", []Item{{Key: "a", Revision: 8}}, 8, []string{"a"}},
		{"unknown deleted", []Item{{Key: "z", Revision: 9, Gone: true}}, 9, []string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, keys(c.Apply(test.items, test.revision)), test.fresh)
			assert.Equal(t, c.Revision(), test.revision)
		})
	}
	t.Run("list", func(t *testing.T) {
		// The list was read while c was written: its first page is older than the item.
		assert.DeepEqual(t, keys(c.Reset([]Item{{Key: "a", Revision: 8}, {Key: "c", Revision: 11}}, 10)), []string{"c", "-b"})
	})
	t.Run("after", func(t *testing.T) {
		items, whole := c.After(8)
		assert.Assert(t, !whole)
		assert.DeepEqual(t, keys(items), []string{"c", "-b"})
		items, whole = c.After(0)
		assert.Assert(t, whole)
		assert.Assert(t, cmp.Len(items, 2))
	})
}

// TestCopyLog guards against an answer with a gap when the log does not reach back to the revision that was asked for.
func TestCopyLog(t *testing.T) {
	c := NewCopy()
	for i := range 2 * logLength {
		c.Apply([]Item{{Key: fmt.Sprintf("k%d", i%10), Revision: int64(i + 1)}}, int64(i+1))
	}
	_, whole := c.After(5)
	assert.Assert(t, whole)
	items, whole := c.After(2*logLength - 3)
	assert.Assert(t, !whole)
	assert.Assert(t, cmp.Len(items, 3))
}
