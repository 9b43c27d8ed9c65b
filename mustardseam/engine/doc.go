// Package engine is a client for model engines: it starts, resumes and cancels streams, reads load reports and cache
// events, and sends orders.
package engine
