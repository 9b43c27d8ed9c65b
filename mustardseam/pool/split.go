package pool

// burst bounds the grants that a version may catch up on after it had no room, so that its traffic stays near its
// share at all times.
const burst = 8

// split counts the grants of a route while its traffic moves to another version.
type split struct {
	to     string
	share  float64
	total  int     // Grants since the share was set.
	moved  int     // Of these, to the version `to`.
	begun  bool    // The version `to` has had a grant.
	unused float64 // Grants beyond burst that the version did not use.
}

// with returns the split with the given target and share; the counts start anew when they change.
func (s *split) with(to string, share float64) *split {
	share = min(1, max(0, share))
	if s != nil && s.to == to && s.share == share {
		return s
	}
	return &split{to: to, share: share, begun: s != nil && s.to == to && s.begun}
}

// allows reports whether the next grant may go to the version `to`: its grants then still are at most the share of
// all grants, this one included, or it is the first.
func (s *split) allows() bool {
	if s.share <= 0 {
		return false
	}
	if !s.begun {
		return true
	}
	return float64(s.moved+1)+s.unused <= s.share*float64(s.total+1)
}

// count takes in a grant.
func (s *split) count(version string) {
	s.total++
	if version == s.to {
		s.moved++
		s.begun = true
	}
	if left := s.share*float64(s.total) - float64(s.moved) - s.unused; left > burst {
		s.unused += left - burst
	}
}
