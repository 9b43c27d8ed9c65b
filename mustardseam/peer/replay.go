package peer

import (
	"sync"
	"time"
)

// maxGenerationSize bounds the signatures in one generation. The rate of a home at 350 instances, 100 calls a second,
// makes 6,000 signatures per generation.
const maxGenerationSize = 1 << 16

// replayCache keeps the signatures of the calls of at least the last minute in two generations, in order to reject
// replays. Only calls signed with a key are added, so that unauthenticated callers cannot fill it. The zero value is
// ready for use.
type replayCache struct {
	mu              sync.Mutex
	generationStart time.Time                   // Start of newGeneration; guarded by mu.
	newGeneration   map[[macBytes]byte]struct{} // Signatures added since generationStart; guarded by mu.
	oldGeneration   map[[macBytes]byte]struct{} // Signatures of the generation before; guarded by mu.
}

// add adds a signature and reports whether it is new. A signature is kept for as long as it may be valid, which is
// twice maxSkew, unless a generation reaches its maximum size earlier.
func (s *replayCache) add(now time.Time, signature [macBytes]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newGeneration == nil || now.Sub(s.generationStart) > 2*maxSkew || len(s.newGeneration) >= maxGenerationSize {
		s.oldGeneration, s.newGeneration, s.generationStart = s.newGeneration, map[[macBytes]byte]struct{}{}, now
	}
	_, again := s.newGeneration[signature]
	if _, before := s.oldGeneration[signature]; again || before {
		return false
	}
	s.newGeneration[signature] = struct{}{}
	return true
}
