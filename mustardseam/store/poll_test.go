package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestListsOfRestoredStoreAreSpaced guards against lists without a pause while the store changes its era within each of them.
func TestListsOfRestoredStoreAreSpaced(t *testing.T) {
	_, c := newScriptedFollower(t)
	c.set(func() {
		c.watch, c.list = answer{err: ErrRestored}, answer{err: ErrRestored}
		c.lists = 0
	})
	const span = 3 * minRetryDelay
	time.Sleep(span)
	c.set(func() { assert.Assert(t, c.lists <= int(span/minRetryDelay)+1, "%d lists in %v", c.lists, span) })
}
