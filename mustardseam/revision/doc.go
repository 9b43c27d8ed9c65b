// Package revision keeps the configuration in force: documents stored under their digest, one head that only
// compare-and-swap moves, and a holder that never goes back to an older revision.
package revision
