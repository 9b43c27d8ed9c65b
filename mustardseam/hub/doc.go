// Package hub lets instances tell each other what they have sent and learned. Each instance reports to one other, the hub,
// and gets the sum over all back; every instance computes the same order of candidates for the hub from the list of
// instances and moves on to the next one when a hub does not answer. Nothing waits for a hub: an instance that hears from
// none keeps to its standing shares and its own knowledge.
package hub
