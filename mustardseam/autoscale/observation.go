package autoscale

// Observation is what is known of a service at one time. The counts cover the time since the previous observation.
type Observation struct {
	Servers      []Server // Listed backend servers of the service.
	ListKnown    bool     // The list is current: neither the store is out of reach nor did entries lapse in an outage.
	OutOfService []string // Data centres that are out of service.
	DemandKnown  bool     // The four fields below are known.
	Arrived      int64    // Attempts to place requests, including those of callers that retry.
	Refused      int64    // Attempts that were refused.
	Work         float64  // Expected units of work of the attempts.
	Waiting      int      // Requests that wait for a backend server.
}
