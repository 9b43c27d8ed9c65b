// Package autoscale decides how many backend servers of a service each data centre needs. A decision follows from an
// Observation of the service and a bounded History of the last two minutes. The package starts no goroutine, reads no clock
// and sends nothing; the caller observes the service once a second and sends the orders that are due.
//
// The load is measured in units of work: output tokens for engines and requests for other services. The design and the
// alternatives are described in docs/design/autoscale.md.
package autoscale
