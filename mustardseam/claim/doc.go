// Package claim keeps the journal of claims of one home. The journal ensures that a keyed request runs at most once.
// The package is a pure state machine: the caller passes in the time and performs the store's reads and writes. A
// Journal is not safe for concurrent use; the caller must hold a lock during every call.
//
// A new home loads the journal after its swap of the home record and before its first grant:
//
//	j := claim.New(claim.Config{Epoch: epoch, Self: incarnation})
//	err := j.Load(now, ready, slots) // All keys below claims/<region>/<pool>/; ready is Tenure.BaselineAfter.
//
// The caller runs this loop every 10 ms and after each input:
//
//	if w, ok := j.NextWrite(now); ok {
//		// Write w.Value to claims/<region>/<pool>/<w.Slot> if the key's mod revision is w.ExpectedMod (0: must not exist).
//		// Then call one of:
//		//   asks := j.WriteCommitted(now, w.ID, mod) // may be granted while Tenure.MayGrant holds
//		//   j.WriteLost(now, w.ID)                   // no answer, or a conflict
//		//   j.WriteNotSent(now, w.ID)                // certainly not sent, such as after a refused connection
//	}
//	if slot, ok := j.ReadBackDue(now); ok {
//		// Read the slot, then call asks, err := j.ReadBackDone(now, slot, value, mod, exists), or j.ReadBackFailed(now).
//	}
//	for _, s := range j.StaleSlots(now) {
//		// Delete the slot if its mod revision is s.Mod, then call j.SlotDeleted(s.Number).
//	}
//
// Claim is called for a keyed ask before the ask is queued, and again at each poll while it waits, because a new home
// may find that an earlier home recorded a claim of the same key. Start is called when the permit is handed out, and
// then MarkDone, MarkNotRun or MarkUnknown with the outcome. SettleFailedOwner is called when an entry instance has
// failed. An outcome that a home did not acknowledge is sent to the next home. Each takeover needs a new Journal; a
// home that only renews its record calls SetEpoch.
//
// The slots form a chain, which fences off earlier homes. Exactly one slot is open. A slot is closed by a write that
// names its successor, and the successor is created only after that write. A new home rewrites the open slot before
// it grants. This changes the mod revision that an earlier home would need to append to the slot or to close it, so
// the earlier home's swap fails.
package claim
