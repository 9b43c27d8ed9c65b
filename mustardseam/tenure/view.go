package tenure

// View is what the caller knows of the region's instances, by incarnation.
type View struct {
	// Listed holds the incarnations that the platform's list still shows. An incarnation that was replaced at its
	// address is not shown. It is nil as long as no list was read. The lists of two instances must not differ by more
	// than what happened in the last ExcuseAfter. An instance takes over only while its list shows itself.
	Listed map[string]bool
	// Suspected holds the incarnations that showed no progress for 1.5 s.
	Suspected map[string]bool
	// Leaving holds the incarnations that announced their stop; they called Stop before they said so. A consent that
	// one of them gives holds for good.
	Leaving map[string]bool
	// Preferred holds the live instances in the rendezvous order of the pool, this one included. A leaving or
	// suspected instance is not among them.
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

// suspected tells whether no sign of life is known.
func (v View) suspected(id string) bool {
	if v.preferred(id) {
		return false
	}
	return v.Suspected[id] || !v.Listed[id]
}
