// Package capacity decides how many requests a backend server may run: its configured limit, what has been learned of
// its version and hardware, cold start, and probation of slow or failing servers. A server's occupancy is what this
// home dispatched and has not seen end, plus what load reports show beyond that; a report never lowers the former.
package capacity
