package autoscale

import (
	"maps"
	"slices"
	"time"
)

// Cause is the reason why an order is sent.
type Cause string

// The causes of orders.
const (
	CauseChange     Cause = "change"     // The desired number differs from the number in force.
	CauseUnanswered Cause = "unanswered" // The same order had no answer.
	CauseDeparted   Cause = "departed"   // The listed number departs from the same order, which was answered.
)

// Order is an order that is due.
type Order struct {
	DataCentre string
	Desired    int
	Cause      Cause
}

// Orders returns the orders that are to be sent for a decision, in the order of the data centres' names. It is called by the
// holder of the duty only, which sends them; the decision counts as carried out.
func (h *History) Orders(cfg Config, now time.Time, d Decision) []Order {
	if d.Hold {
		return nil
	}
	h.noteChange(now, d)
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(d.Desired)) {
		z := h.zones[name]
		if z == nil {
			continue
		}
		if cause, due := z.due(now, cfg, d.Desired[name]); due {
			orders = append(orders, Order{DataCentre: name, Desired: d.Desired[name], Cause: cause})
		}
	}
	return orders
}

// Sent records that an order is sent. It counts as in force from then on, since a call without an answer may be carried out.
func (h *History) Sent(now time.Time, o Order) {
	z := h.zones[o.DataCentre]
	if z == nil {
		z = &zone{}
		h.zones[o.DataCentre] = z
	}
	next := order{sent: true, desired: o.Desired, sentAt: now, corrections: z.order.corrections}
	switch o.Cause {
	case CauseChange:
		next.corrections, z.departed = 0, time.Time{}
	case CauseDeparted:
		next.corrections++
	}
	z.order = next
}

// Answered records that the platform accepted an order.
func (h *History) Answered(o Order) {
	if z := h.zones[o.DataCentre]; z != nil && z.order.sent && z.order.desired == o.Desired {
		z.order.answered = true
	}
}
