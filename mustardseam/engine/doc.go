// Package engine is a client of model engines: it starts, resumes and cancels streams, reads load reports and cache
// events, and gives orders.
package engine
