package journal

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferLines is the number of lines that may wait; at some 300 bytes each they take 300 KB.
	bufferLines = 1024
	// ratePerSecond bounds the lines of a second and burst those of a moment; an instance serves some tens of requests a
	// second.
	ratePerSecond = 300
	burst         = 600
)

// Writer hands lines to another writer in the background; its methods are safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu    sync.Mutex
	level float64   // Lines that may be written now; guarded by mu.
	at    time.Time // Of the level; guarded by mu.
	ended bool      // Guarded by mu.
}

// NewWriter starts to write lines to w; errors of w are ignored, because there is no other place to report them.
func NewWriter(w io.Writer) *Writer {
	j := &Writer{lines: make(chan []byte, bufferLines), done: make(chan struct{}), level: burst, at: time.Now()}
	go func() {
		defer close(j.done)
		for line := range j.lines {
			_, _ = w.Write(line)
		}
	}()
	return j
}

// Write takes a line over; it never blocks and never fails.
func (j *Writer) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.level = min(burst, j.level+ratePerSecond*now.Sub(j.at).Seconds())
	j.at = now
	if j.level < 1 || j.ended {
		j.dropped.Add(1)
		return len(line), nil
	}
	select {
	case j.lines <- append([]byte(nil), line...):
		j.level--
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (j *Writer) Dropped() int64 { return j.dropped.Load() }

// Close writes what waits, for at most the given time.
func (j *Writer) Close(limit time.Duration) {
	j.mu.Lock()
	ended := j.ended
	j.ended = true
	j.mu.Unlock()
	if !ended {
		close(j.lines)
	}
	select {
	case <-j.done:
	case <-time.After(limit):
	}
}
