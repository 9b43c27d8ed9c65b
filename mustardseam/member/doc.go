// Package member keeps one instance's table of the entry instances in its region.
//
// The table is updated from heartbeats, from the platform's lagging list and from the results of probes. It starts no
// goroutines and reads no clock. The caller passes in the time, which must not go back, and calls NextOwnEntry at
// least every 500 ms, because a gap longer than Config.PauseThreshold counts as a pause of the process. A Table is
// not safe for concurrent use.
//
// The caller uses a Table like this:
//
//	t := member.New(member.Config{Self: self})
//	// Every 500 ms:
//	from := t.NextOwnEntry(now)               // The sender's own entry of the heartbeat.
//	others := t.NextEntries(now, 16)          // The other entries of the heartbeat.
//	for _, m := range t.NextReceivers(r, 2) { // Receivers besides the homes in use.
//		send(m.Address, from, others)
//	}
//	for _, m := range t.Suspected(now) {
//		probe(m) // Reports the result to t.ApplyProbe.
//	}
//	// For each heartbeat received:
//	t.ApplyEntry(now, from)
//	for _, m := range others {
//		t.ApplyEntry(now, m)
//	}
//	// For each list received from the platform:
//	t.ApplyList(now, list)
//	// For each pool:
//	order := t.Preferred(now, pool) // The first should be the pool's home, the next ones its candidates.
package member
