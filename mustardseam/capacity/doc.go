// Package capacity determines how many requests a backend server may run, from its configured limit, what has been
// learned about its version and hardware, cold start, and probation of slow or failing servers. A server's occupancy is
// the requests that this home instance granted and whose end it has not recorded, plus those that load reports show
// in addition. A report never lowers the number of the former.
package capacity
