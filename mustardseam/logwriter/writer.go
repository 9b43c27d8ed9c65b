package logwriter

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the buffer size in lines. At about 300 bytes each, a full buffer takes 300 KB.
	maxBufferedLines = 1024
	// maxLinesPerSecond and maxBurstLines are the rate and the burst size of the token bucket that limits the lines. An
	// instance serves some tens of requests per second.
	maxLinesPerSecond = 300
	maxBurstLines     = 600
)

// Writer writes lines to another writer in the background. Its methods are safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // Closed when all buffered lines are written after Close.

	mu         sync.Mutex
	tokens     float64   // Number of lines that the rate limit allows now; guarded by mu.
	refilledAt time.Time // Time at which tokens was last updated; guarded by mu.
	closed     bool      // Close was called; guarded by mu.
}

// NewWriter returns a Writer that writes lines to w. Errors of w are ignored, because there is no other place to report
// them.
func NewWriter(w io.Writer) *Writer {
	j := &Writer{
		lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), tokens: maxBurstLines, refilledAt: time.Now(),
	}
	go func() {
		defer close(j.done)
		for line := range j.lines {
			_, _ = w.Write(line)
		}
	}()
	return j
}

// Write copies a line into the buffer, or drops it if the buffer is full, the rate limit is exceeded or the Writer is
// closed. It never blocks on the underlying writer and never returns an error.
func (j *Writer) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.tokens = min(maxBurstLines, j.tokens+maxLinesPerSecond*now.Sub(j.refilledAt).Seconds())
	j.refilledAt = now
	if j.tokens < 1 || j.closed {
		j.dropped.Add(1)
		return len(line), nil
	}
	select {
	case j.lines <- append([]byte(nil), line...):
		j.tokens--
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (j *Writer) Dropped() int64 { return j.dropped.Load() }

// Close drops later lines and waits until the buffered lines are written, for at most the timeout.
func (j *Writer) Close(timeout time.Duration) {
	j.mu.Lock()
	wasClosed := j.closed
	j.closed = true
	j.mu.Unlock()
	if !wasClosed {
		close(j.lines)
	}
	select {
	case <-j.done:
	case <-time.After(timeout):
	}
}
