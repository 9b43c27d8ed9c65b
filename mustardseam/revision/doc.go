// Package revision keeps the configuration in force: documents stored under their digest, one head that only
// compare-and-swap moves, deltas between documents, and a holder that never goes back to an older revision.
//
// Submissions and reads talk to a Store; everything else is pure. An instance that starts reads the head, asks its peers,
// takes the first of Newest and fetches that document from its source; it is not ready before Holder.Apply. An instance
// that is one revision behind applies a Delta; when that fails, it fetches the whole document.
package revision
