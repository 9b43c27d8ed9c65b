package autoscale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOrderIsSentOnce guards against orders that do not change the number in force.
func TestOrderIsSentOnce(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.run(100)
	for _, o := range f.orders {
		assert.Equal(t, o.Cause, CauseChange, f)
	}
	seen := map[Order]bool{}
	for _, o := range f.orders {
		assert.Assert(t, !seen[o.Order], f)
		seen[o.Order] = true
	}
}

// TestUnansweredOrderIsRepeated guards against an order that is lost with its call.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.answered, f.carryOut = false, false
	f.run(40)
	assert.Assert(t, len(f.orders) >= 3*15, f)
	f.answered, f.carryOut = true, true
	f.run(20)
	assert.Assert(t, f.total() >= 140, f)
	sent := len(f.orders)
	f.run(20)
	for _, o := range f.orders[sent:] {
		assert.Equal(t, o.Cause, CauseChange, f)
	}
}

// TestLateOrders guards against more and more backend servers ordered while earlier orders are still carried out.
func TestLateOrders(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.late = 12 * time.Second
	f.run(100)
	assert.Assert(t, f.total() >= 140 && f.total() <= 170, f)
	for _, o := range f.orders {
		assert.Assert(t, o.Cause == CauseChange || o.Cause == CauseDeparted, f)
	}
}

// TestOrderThatIsNeverCarriedOut guards against calls without end for an order that the platform accepts and does not carry
// out.
func TestOrderThatIsNeverCarriedOut(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.carryOut = false
	f.run(620)
	corrections := map[string]int{}
	for _, o := range f.orders {
		if o.Cause == CauseDeparted {
			corrections[o.DataCentre]++
		}
	}
	for _, dc := range []string{"a", "b", "c"} {
		assert.Assert(t, corrections[dc] >= 3 && corrections[dc] <= 9, "%d corrections in %s: %v", corrections[dc], dc, f)
	}
}

// TestOldOrderCarriedOutLate guards against an older number that stays in force because the platform carried out an earlier
// call last.
func TestOldOrderCarriedOutLate(t *testing.T) {
	f := newFakeService(between(20, 30, 1.5))
	f.run(50)
	want, sent := f.desired["a"], len(f.orders)
	assert.Assert(t, want > 30, f)
	f.desired["a"] = 30
	f.follow()
	f.run(20)
	assert.Equal(t, f.desired["a"], want, f)
	last := f.orders[len(f.orders)-1]
	assert.Equal(t, len(f.orders), sent+1, f)
	assert.Equal(t, last.Order, Order{DataCentre: "a", Desired: want, Cause: CauseDeparted}, f)
	assert.Assert(t, last.second > 50+8, f)
}

// TestNewHolder guards against a new holder that takes the numbers listed in a crash as those in force, and against orders
// by a new holder without a cause.
func TestNewHolder(t *testing.T) {
	cases := []struct {
		name    string
		history func(*History) *History
	}{
		{"with a history", func(h *History) *History { h.BeginTerm(); return h }},
		{"without a history", func(*History) *History { return NewHistory() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeService(usual)
			f.run(30)
			f.change = func(s int, o *Observation) {
				if s >= 30 && s < 37 {
					o.Servers = o.Servers[len(o.Servers)/4:]
				}
			}
			f.history = c.history(f.history)
			f.run(60)
			assert.Equal(t, len(f.orders), 0, f)
		})
	}
}

// TestNewHolderAfterOrders guards against a new holder that repeats or reverts the orders of the previous one.
func TestNewHolderAfterOrders(t *testing.T) {
	f := newFakeService(between(20, 1000, 2))
	f.run(40)
	sent, total := len(f.orders), f.total()
	f.history.BeginTerm()
	f.run(60)
	assert.Assert(t, f.total() >= total && f.total() <= total+10, f)
	assert.Assert(t, len(f.orders) <= sent+3, f)
}
