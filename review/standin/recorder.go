package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *recorder) logf(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *recorder) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
	_ = r.w.Flush()
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
