package fleet

import "time"

// Autoscale holds the limits within which the number of backend servers of a service is ordered. Its zero value means that
// no number is ordered.
type Autoscale struct {
	Min  int           // Minimum number of backend servers in each data centre.
	Max  int           // Maximum number of backend servers in each data centre; 0 for no orders.
	Boot time.Duration // Time from an order until new backend servers serve.
}

// Enabled reports whether numbers are ordered.
func (a Autoscale) Enabled() bool { return a.Max > 0 }
