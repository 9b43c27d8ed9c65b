package autoscale

// Reason is the reason for a decision.
type Reason string

// The reasons of decisions. The first group holds all numbers, as nothing better is known.
const (
	HoldList         Reason = "list-unknown"   // The list of backend servers is not current.
	HoldOutOfService Reason = "out-of-service" // A data centre is out of service.
	HoldNoTraffic    Reason = "no-traffic"     // No request has come yet.
	HoldStart        Reason = "start"          // The list has not been known for long enough to tell what is in force.
	HoldSpeed        Reason = "speed-unknown"  // No backend server has been measured.
	HoldDemand       Reason = "demand-unknown" // The latest samples of the demand are missing.

	Enough   Reason = "enough"   // The numbers in force suffice.
	Sustain  Reason = "sustain"  // The load of the last seconds needs more.
	Periodic Reason = "periodic" // The next peak of a periodic load needs more.
	Surge    Reason = "surge"    // The load is above what the backend servers in force can do.
	Withdraw Reason = "withdraw" // A surge ended before its backend servers started.
	Fall     Reason = "fall"     // The load has been lower for the whole hold time.
)

// Decision is the number of backend servers that each data centre should have, and what it follows from.
type Decision struct {
	Desired map[string]int // By data centre.
	Hold    bool           // Nothing is to be sent, not even again.
	Reason  Reason
	InForce int     // Sum of the numbers in force.
	Needed  int     // Sum that the load needs.
	Load    float64 // Units of work per second of the latest two samples.
	Full    float64 // Units of work per second that the backend servers in force do with all slots in use.
	Period  int     // Period of the load in seconds; 0 if it is not periodic.
}

// Total returns the sum of the desired numbers.
func (d Decision) Total() int { return sum(d.Desired) }

// withReason returns the decision with a reason and desired numbers.
func (d Decision) withReason(r Reason, desired map[string]int) Decision {
	d.Reason, d.Desired = r, desired
	return d
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
