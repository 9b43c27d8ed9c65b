// Package member keeps one instance's table of the entry instances of its region.
//
// The table is fed with heartbeats, the platform's lagging list and answers to probes. It starts no goroutine and reads
// no clock: the caller passes the time, never goes back in it, and calls Beat at least every 500 ms, because a longer
// gap than Config.Pause counts as a pause of the process. A table is not safe for concurrent use.
//
// A caller drives it like this:
//
//	t := member.New(member.Config{Self: self})
//	// Every 500 ms:
//	from := t.Beat(now)                // The sender's entry of the heartbeat.
//	news := t.Delta(now, 16)           // The other entries of the heartbeat.
//	for _, m := range t.Spread(r, 2) { // Receivers besides the homes in use.
//		send(m.Address, from, news)
//	}
//	for _, m := range t.Suspect(now) {
//		probe(m) // Reports to t.Probed.
//	}
//	// For each heartbeat received:
//	t.Heard(now, from)
//	for _, m := range news {
//		t.Heard(now, m)
//	}
//	// For each answer of the platform:
//	t.Listed(now, entries)
//	// For each pool:
//	order := t.Preferred(now, pool) // The first one should be its home, the next ones its candidates.
package member
