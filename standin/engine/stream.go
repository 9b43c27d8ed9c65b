package engine

import (
	"fmt"
	"sync"
)

// end says how a stream ended.
type end int

const (
	running   end = iota
	completed     // All tokens were generated.
	cancelled     // On demand.
	failed        // With the engine.
)

// stream is one request inside the engine; its tokens stay readable for a resume until the engine forgets it.
type stream struct {
	id      string
	model   string
	chat    bool
	tag     string // Hash of the prompt that marks each token.
	prompt  int
	cached  int
	left    int // Prompt tokens still to be prefilled.
	length  int // Tokens to generate.
	blocks  []uint64
	delay   int // Steps to wait before the first token.
	mu      sync.Mutex
	tokens  int           // Guarded by mu.
	state   end           // Guarded by mu.
	changed chan struct{} // Guarded by mu; closed at the next change.
}

// emit adds one token and reports whether the stream has ended.
func (s *stream) emit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != running {
		return true
	}
	s.tokens++
	if s.tokens >= s.length {
		s.state = completed
	}
	s.wake()
	return s.state != running
}

// stop ends the stream unless it has ended.
func (s *stream) stop(as end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == running {
		s.state = as
	}
	s.wake()
}

// wake must be called with mu held.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the number of tokens, the state, and a channel closed at the next change.
func (s *stream) read() (n int, state end, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.state, s.changed
}

// text returns the text of token i.
func (s *stream) text(i int) string {
	return fmt.Sprintf("%s.%d ", s.tag, i)
}
