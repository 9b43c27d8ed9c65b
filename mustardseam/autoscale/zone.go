package autoscale

import "time"

const (
	// repeatAfter is the time after which an order without an answer is sent again.
	repeatAfter = time.Second
	// listingDelay is added to the boot time before a departure of the listed number is corrected. Backend servers register
	// and instances learn of it within a second, and the list is looked at once a second.
	listingDelay = 2 * time.Second
	// maxCorrectionDelay bounds the time between two corrections. It doubles with each, so that an order that the platform
	// does not carry out in full is not repeated at every boot time.
	maxCorrectionDelay = 2 * time.Minute
)

// zone is what is known of the backend servers of a service in a data centre.
type zone struct {
	listed   int       // Listed backend servers that are not draining.
	recent   []count   // Numbers listed lately, oldest first.
	departed time.Time // Time since which listed has differed from the order; zero while it does not.
	order    order
}

// count is a number of listed backend servers at a time.
type count struct {
	at time.Time
	n  int
}

// order is the latest order for a zone; its zero value is no order.
type order struct {
	sent        bool
	desired     int
	sentAt      time.Time
	answered    bool
	corrections int // Number of times that it was sent again because the listed number departed from it.
}

// observe records the listed number. Numbers older than a time are dropped.
func (z *zone) observe(now time.Time, listed int, keep time.Duration) {
	z.listed = listed
	z.recent = append(z.recent, count{at: now, n: listed})
	drop := 0
	for drop < len(z.recent)-1 && now.Sub(z.recent[drop].at) > keep {
		drop++
	}
	z.recent = z.recent[drop:]
	switch {
	case !z.order.sent || listed == z.order.desired:
		z.departed = time.Time{}
		z.order.corrections = 0
	case z.departed.IsZero():
		z.departed = now
	}
}

// inForce returns the number in force. Before the first order of a term it is not known, and the highest number listed
// lately stands for it: a lower number, after crashes, comes back without an order.
func (z *zone) inForce() int {
	if z.order.sent {
		return z.order.desired
	}
	return z.highest()
}

// highest returns the highest number listed lately.
func (z *zone) highest() int {
	n := z.listed
	for _, c := range z.recent {
		n = max(n, c.n)
	}
	return n
}

// due reports whether an order for a number of backend servers is to be sent, and why.
func (z *zone) due(now time.Time, cfg Config, desired int) (Cause, bool) {
	o := z.order
	switch {
	case desired != z.inForce():
		return CauseChange, true
	case o.sent && !o.answered && now.Sub(o.sentAt) >= repeatAfter:
		return CauseUnanswered, true
	case o.sent && o.answered && !z.departed.IsZero() && now.Sub(z.departed) > z.correctionDelay(cfg) &&
		now.Sub(o.sentAt) > z.correctionDelay(cfg):
		return CauseDeparted, true
	}
	return "", false
}

// correctionDelay returns how long the listed number must depart from the order before the order is sent again.
func (z *zone) correctionDelay(cfg Config) time.Duration {
	return min((cfg.Boot+listingDelay)<<min(z.order.corrections, 10), maxCorrectionDelay)
}
