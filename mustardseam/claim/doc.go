// Package claim keeps the journal of claims of one home, which makes a keyed request run at most once. It is pure: the
// time is passed in, and the caller does the store's reads and writes. A Journal is not safe for concurrent use; the
// caller holds a lock over every call.
//
// A new home, after its swap of the home record and before its first grant:
//
//	j := claim.New(claim.Config{Epoch: epoch, Self: incarnation})
//	err := j.Load(now, ready, slots) // All keys below claims/<region>/<pool>/; ready is the Baseline of the tenure.
//
// The driving loop, run every 10 ms and after each input:
//
//	if w, ok := j.Pending(now); ok {
//		// Write w.Value to claims/<region>/<pool>/<w.Slot> if the key's mod revision is w.Last (0: must not exist).
//		// Then one of:
//		//   asks := j.Committed(now, w.ID, mod)  // these may be granted while the tenure's MayGrant holds
//		//   j.Lost(now, w.ID)                    // no answer, or a conflict
//		//   j.Failed(now, w.ID)                  // certainly not sent, as when the connection was refused
//	}
//	if slot, ok := j.Unsettled(now); ok {
//		// Read the slot, then asks := j.ReadBack(now, slot, value, mod, exists), or j.ReadFailed(now).
//	}
//	for _, s := range j.Stale(now) {
//		// Delete the slot if its mod revision is s.Mod, then j.Deleted(s.Number).
//	}
//
// A keyed ask goes through Claim before it is queued, and again at each poll while it waits: a new home may find that an
// earlier one has claimed the key. Start is called when the permit is handed out, then Finish, NotRun or Doubt with its
// outcome, and Abandon when an entry instance failed. An outcome that a home did not acknowledge is sent to the next home.
// Each takeover needs a new Journal; SetEpoch serves a home that only renews its record.
//
// The slots form a chain, which is what fences an old home off. Exactly one slot is open. A slot is closed by a write that
// names the next one, and only then is the next one created. A new home rewrites the open slot before it grants, so the
// mod revision that an old home needs to append, or to close and go on, has changed, and its swap fails.
package claim
