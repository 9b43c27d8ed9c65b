package store

import "cmp"

// Position is a point in the history of the store.
type Position struct {
	Era      int64 // Number of the store's history; it rises when the store is restored from a copy.
	Revision int64 // Revisions of different eras are not comparable.
}

// Compare compares positions by their era, then by their revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
