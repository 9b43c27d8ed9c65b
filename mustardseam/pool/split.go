package pool

// maxCatchUp is the number of missed grants that a version may catch up on after it had no room. The limit keeps its
// traffic close to its share at all times.
const maxCatchUp = 8

// split counts the grants of a route while its traffic moves to another version.
type split struct {
	target       string  // Version that the traffic moves to.
	share        float64 // Largest share of the grants that may go to target, 0 to 1.
	grants       int     // Grants since the share was set.
	targetGrants int     // Grants to target since the share was set.
	started      bool    // Whether target has had a grant.
	forfeited    float64 // Unused grants of target beyond maxCatchUp, which it no longer gets.
}

// retarget returns a split with the given target and share. The counts restart if either changes.
func (s *split) retarget(to string, share float64) *split {
	share = min(1, max(0, share))
	if s != nil && s.target == to && s.share == share {
		return s
	}
	return &split{target: to, share: share, started: s != nil && s.target == to && s.started}
}

// allowsNext reports whether the next grant may go to target: either its grants, including this one, stay within its
// share of all grants, or it has not had a grant yet.
func (s *split) allowsNext() bool {
	if s.share <= 0 {
		return false
	}
	if !s.started {
		return true
	}
	return float64(s.targetGrants+1)+s.forfeited <= s.share*float64(s.grants+1)
}

// recordGrant counts a grant to the version.
func (s *split) recordGrant(version string) {
	s.grants++
	if version == s.target {
		s.targetGrants++
		s.started = true
	}
	if left := s.share*float64(s.grants) - float64(s.targetGrants) - s.forfeited; left > maxCatchUp {
		s.forfeited += left - maxCatchUp
	}
}
