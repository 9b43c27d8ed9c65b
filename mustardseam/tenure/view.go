package tenure

// View is the caller's knowledge of the region's instances, by incarnation.
type View struct {
	// Listed holds the incarnations that the platform's list currently shows. It excludes an incarnation that was
	// replaced at its address, and is nil until a list has been read. The lists of two instances must not differ by
	// more than the changes of the last EndedAfter. An instance takes over only while its own list shows it.
	Listed map[string]bool
	// Suspected holds the incarnations that made no progress for 1.5 s.
	Suspected map[string]bool
	// Leaving holds the incarnations that announced their stop. They called Stop before the announcement, so that a
	// consent from one of them does not expire.
	Leaving map[string]bool
	// Preferred holds the live instances, this one included, in the pool's rendezvous order. It excludes leaving and
	// suspected instances.
	Preferred []Candidate
}

func (v View) preferred(id string) bool {
	for _, c := range v.Preferred {
		if c.ID == id {
			return true
		}
	}
	return false
}

// suspected reports whether the instance shows no sign of life.
func (v View) suspected(id string) bool {
	if v.preferred(id) {
		return false
	}
	return v.Suspected[id] || !v.Listed[id]
}
