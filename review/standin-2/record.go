package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is what a client or a backend server has seen, or what the test did.
type event struct {
	at            time.Time
	kind, id, who string
	note          string
}

// recorder collects the events of a run.
type recorder struct {
	start time.Time

	mu     sync.Mutex
	events []event
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

func (r *recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// note records and prints what the test does or finds.
func (r *recorder) note(format string, args ...any) {
	e := event{at: time.Now(), kind: "test", note: fmt.Sprintf(format, args...)}
	r.add(e)
	fmt.Printf("%8.3f s  %s\n", e.at.Sub(r.start).Seconds(), e.note)
}

// all returns the events so far.
func (r *recorder) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// write writes the events to a file.
func (r *recorder) write(path string) {
	f, err := os.Create(path)
	check(err)
	w := bufio.NewWriter(f)
	for _, e := range r.all() {
		_, _ = fmt.Fprintf(w, "%9.3f s  %-9s %s %s %s\n", e.at.Sub(r.start).Seconds(), e.kind, e.id, e.who, e.note)
	}
	check(w.Flush())
	check(f.Close())
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}
