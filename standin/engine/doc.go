// Package engine is a stand-in of a model engine: continuous batching, a prefix cache with limited memory, cold
// start, lagging load reports, late cache events, streams that can be resumed and cancelled, and orders.
package engine
