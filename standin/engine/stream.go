package engine

import (
	"fmt"
	"sync"
)

// streamState is the state of a stream: running, or how it ended.
type streamState int

const (
	running   streamState = iota
	completed             // All tokens were generated.
	cancelled             // Cancelled by a client.
	failed                // Failed by the engine.
)

// stream is a request in the engine; its tokens can be read again for a resume until the engine evicts it.
type stream struct {
	id                string
	model             string
	chat              bool
	tag               string // Hash of the prompt; part of each token's text.
	promptTokens      int
	cachedTokens      int
	prefillTokensLeft int // Number of prompt tokens not yet prefilled.
	outputTokens      int // Number of tokens to generate.
	blocks            []uint64
	delaySteps        int // Number of steps to wait before the first token.
	mu                sync.Mutex
	generatedTokens   int           // Guarded by mu.
	state             streamState   // Guarded by mu.
	changed           chan struct{} // Guarded by mu; closed at the next change.
}

// emit generates one token and reports whether the stream has ended.
func (s *stream) emit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != running {
		return true
	}
	s.generatedTokens++
	if s.generatedTokens >= s.outputTokens {
		s.state = completed
	}
	s.notifyReaders()
	return s.state != running
}

// stop ends a running stream with the given state.
func (s *stream) stop(state streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == running {
		s.state = state
	}
	s.notifyReaders()
}

// notifyReaders wakes all readers that wait for a change; it must be called with mu held.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the number of tokens, the state, and a channel closed at the next change.
func (s *stream) read() (n int, state streamState, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generatedTokens, s.state, s.changed
}

// tokenText returns the text of token i, which contains the tag and i.
func (s *stream) tokenText(i int) string {
	return fmt.Sprintf("%s.%d ", s.tag, i)
}
