package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// ledger records what was sent, run and answered.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*ledgerEntry
}

// ledgerEntry is what is known of one request.
type ledgerEntry struct {
	sent, answered time.Time
	answer         string
	runs           []string
}

func (l *ledger) entry(id string) *ledgerEntry {
	if l.requests == nil {
		l.requests = map[string]*ledgerEntry{}
	}
	e := l.requests[id]
	if e == nil {
		e = &ledgerEntry{}
		l.requests[id] = e
	}
	return e
}

// send records that a caller sends a request.
func (l *ledger) send(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).sent = time.Now()
}

// run records that a backend server runs a request.
func (l *ledger) run(id string, r *replica, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.runs = append(e.runs, fmt.Sprintf("%s %s %d", r.id, r.version, status))
}

// answer records what a caller got.
func (l *ledger) answer(id string, a clientAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.answered, e.answer = time.Now(), fmt.Sprint(a.status)
	if a.err != nil {
		e.answer = "nothing whole"
	}
}

// sentAt returns when a request was sent.
func (l *ledger) sentAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(id).sent
}

// write writes the ledger to the record, in the order of sending.
func (l *ledger) write(s *site) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return l.requests[ids[a]].sent.Before(l.requests[ids[b]].sent) })
	s.logf("requests: sent, answered after ms, status; ran at: id, version, status")
	for _, id := range ids {
		e := l.requests[id]
		s.mu.Lock()
		fmt.Fprintf(s.record, "%s %.3f %d %s; %s\n", id, e.sent.Sub(s.started).Seconds(), e.answered.Sub(e.sent).Milliseconds(), e.answer, strings.Join(e.runs, ", "))
		s.mu.Unlock()
	}
}
