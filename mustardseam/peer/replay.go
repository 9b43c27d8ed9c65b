package peer

import (
	"sync"
	"time"
)

// seenLimit bounds the signatures of one generation: 100 calls a second, the rate of a home at 350 instances, make 6,000
// a generation.
const seenLimit = 1 << 16

// seen remembers the signatures of the calls of the last minute in two generations, so that a replay is refused. Only
// calls that hold a key get here, so strangers cannot fill it. The zero value is ready for use.
type seen struct {
	mu    sync.Mutex
	began time.Time                   // Of the new generation; guarded by mu.
	fresh map[[macBytes]byte]struct{} // Guarded by mu.
	old   map[[macBytes]byte]struct{} // Guarded by mu.
}

// first records a signature and reports whether it is new. A signature is kept for as long as it may be valid, which is
// twice the skew, unless the limit is reached.
func (s *seen) first(now time.Time, signature [macBytes]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh == nil || now.Sub(s.began) > 2*maxSkew || len(s.fresh) >= seenLimit {
		s.old, s.fresh, s.began = s.fresh, map[[macBytes]byte]struct{}{}, now
	}
	_, again := s.fresh[signature]
	if _, before := s.old[signature]; again || before {
		return false
	}
	s.fresh[signature] = struct{}{}
	return true
}
