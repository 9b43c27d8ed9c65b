// Package revision manages the revisions of the configuration: documents stored under their digest, a head that changes
// only by compare-and-swap, deltas between documents, and a holder that never goes back to an older revision.
//
// Submissions and reads call a Store; everything else is free of I/O. A starting instance reads the head, asks its
// peers, takes the first of NewestCandidates and fetches that document from its source; it is not ready before
// Holder.Apply. An instance that is one revision behind calls ApplyDelta; if that fails, it fetches the whole document.
package revision
