// Package engine is a stand-in for a model engine with continuous batching, a prefix cache of limited size, cold
// start, delayed load reports and cache events, streams that can be resumed and cancelled, and orders.
package engine
