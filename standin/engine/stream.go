package engine

import (
	"fmt"
	"sync"
)

// stream is one request inside the engine; its tokens stay readable for a resume until the engine forgets it.
type stream struct {
	id      string
	model   string
	tag     string // Hash of the prompt that marks each token.
	prompt  int
	cached  int
	left    int // Prompt tokens still to be prefilled.
	length  int // Tokens to generate.
	blocks  []uint64
	delay   int // Steps to wait before the first token.
	mu      sync.Mutex
	tokens  int  // Guarded by mu.
	ended   bool // Guarded by mu.
	failed  bool // Guarded by mu.
	changed chan struct{}
}

// emit adds one token and reports whether the stream has ended.
func (s *stream) emit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
	s.ended = s.ended || s.tokens >= s.length
	s.wake()
	return s.ended
}

// end stops the stream.
func (s *stream) end(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.failed = s.failed || failed
	s.wake()
}

// wake must be called with mu held.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the number of tokens, whether the stream has ended or failed, and a channel closed at the next change.
func (s *stream) read() (n int, ended, failed bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.ended, s.failed, s.changed
}

// text returns the text of token i.
func (s *stream) text(i int) string {
	return fmt.Sprintf("%s.%d ", s.tag, i)
}
