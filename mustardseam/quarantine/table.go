package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// minCrashes is the number of incarnations of backend servers that must crash on a part before it is refused.
	minCrashes = 4
	// minFingerprintCrashes is the same for a fingerprint on which there was no answer yet.
	minFingerprintCrashes = 3
	// minRepeatedCrashes is the number of crashes from which on a request is refused although others explain them.
	minRepeatedCrashes = 4
	// suspectCrashes is the number from which on requests with a part are not sent to another backend server after a crash.
	suspectCrashes = 2
	// suspectAnswerAge is how long ago the latest answer on a part may be for the part not to be suspect.
	suspectAnswerAge = 10 * time.Second
	// momentInterval and minMoments keep backend servers that fail at the same time, as in a loss of power, from counting as
	// several crashes on a part that was in use on all of them.
	momentInterval = 50 * time.Millisecond
	minMoments     = 3
	// settleTime is the least time between the first crash and the first refusal. Within it, the reports of the other
	// instances bring their answers on the part.
	settleTime = 500 * time.Millisecond
	// answeredSettleTime is settleTime for parts that were answered before.
	answeredSettleTime = 2 * time.Second
	// retention is how long a crash counts. For those of a pattern it is RefusalTime, from the latest refusal on.
	retention = 10 * time.Minute
	// renewalInterval is the least time between two changes of a record by refusals.
	renewalInterval = time.Minute
	// maxRecords bounds the crashes in a table, maxServerRecords those of one incarnation of a backend server, and maxSupport
	// those that are kept for a pattern.
	maxRecords       = 256
	maxServerRecords = 32
	maxSupport       = 2 * minCrashes
	// recordsAfterEviction is the number of crashes that are left when there are more than maxRecords.
	recordsAfterEviction = maxRecords * 7 / 8
	// maxAnswered bounds the parts whose latest answer is kept.
	maxAnswered = 4096
	// maxParts and maxPartBytes bound the parts of a prompt that are considered.
	maxParts     = 65
	maxPartBytes = 64
	// maxMessageCrashes bounds the crashes in a message; the rest follow in the next one.
	maxMessageCrashes = 64
)

// FingerprintPrefix begins each fingerprint; no part of a prompt has a colon.
const FingerprintPrefix = "request:"

// RefusalTime is how long requests with a pattern are refused after the latest crash or refusal.
const RefusalTime = time.Hour

// Config holds the callbacks of a Table, which are called while it is locked.
type Config struct {
	OnQuarantine func(Pattern) // A pattern was found or has changed.
	OnRelease    func(Pattern) // A pattern is no longer valid, or was replaced.
}

// Table holds the crashes that an instance knows. Its methods are safe for concurrent use.
type Table struct {
	cfg Config

	mu       sync.Mutex
	records  map[recordKey]*record // Guarded by mu, like all fields below.
	answered map[string]time.Time  // Time of the latest answer on each part.
	// answeredRequests is the same for fingerprints, nearly all of which differ and would displace the parts.
	answeredRequests map[string]time.Time
	sequence         int64 // Number of the latest change.
	patterns         []Pattern
	suspects         map[string]bool      // Parts that were in the prompt at suspectCrashes or more.
	byPart           map[string][]*record // Records with each part that is not known to be sound.
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg: cfg, records: map[recordKey]*record{}, answered: map[string]time.Time{}, answeredRequests: map[string]time.Time{},
		suspects: map[string]bool{}, byPart: map[string][]*record{},
	}
}

// RecordCrash records that a backend server ended the connection of a request at the beginning of its answer.
func (t *Table) RecordCrash(now time.Time, server fleet.Incarnation, parts []string) {
	t.Merge(now, []fleet.Crash{{Server: server, Parts: parts}})
}

// RecordAnswer records that a backend server answered a request whose prompt has the parts.
func (t *Table) RecordAnswer(now time.Time, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.answeredBy(part)[part] = now
	}
	prune(t.answered, maxAnswered)
	prune(t.answeredRequests, maxAnswered)
	changed := false
	for _, part := range parts {
		for _, r := range t.byPart[part] {
			r.sound[part] = true
			t.touch(r)
			changed = true
		}
	}
	if changed {
		t.update()
	}
}

// Match returns the pattern in a prompt with the given parts, whose requests must be refused.
func (t *Table) Match(now time.Time, parts []string) (Pattern, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.patterns {
		if now.Before(p.From) || !p.matches(parts) {
			continue
		}
		for _, r := range t.records {
			if r.hasAll(p.Parts) && now.Sub(r.refused) >= renewalInterval {
				r.refused = now
				t.touch(r)
			}
		}
		return p, true
	}
	return Pattern{}, false
}

// Suspects reports whether backend servers crashed on one of the parts so often, and answered none lately, that a request
// with them must not be sent to another one after a crash.
func (t *Table) Suspects(now time.Time, parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		return t.suspects[part] && now.Sub(t.answeredBy(part)[part]) > suspectAnswerAge
	})
}

// Patterns returns the patterns whose requests are refused.
func (t *Table) Patterns(now time.Time) []Pattern {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(t.patterns), func(p Pattern) bool { return now.Before(p.From) })
}

// Knows reports whether the table holds any crash, so that answers may matter.
func (t *Table) Knows() bool { return t.Len() > 0 }

// Len returns the number of crashes in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Sweep removes crashes that no longer count.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for key, r := range t.records {
		keep := retention
		if slices.ContainsFunc(t.patterns, func(p Pattern) bool { return r.hasAll(p.Parts) }) {
			keep = RefusalTime
		}
		if now.Sub(r.refused) > keep {
			delete(t.records, key)
			changed = true
		}
	}
	if changed {
		t.update()
	}
}

// answeredBy returns the map with the latest answer on a part; mu must be held.
func (t *Table) answeredBy(part string) map[string]time.Time {
	if isFingerprint(part) {
		return t.answeredRequests
	}
	return t.answered
}

// touch numbers a change of a record; mu must be held.
func (t *Table) touch(r *record) {
	t.sequence++
	r.sequence = t.sequence
}

// update finds the patterns and suspects anew after changes of the records; mu must be held.
func (t *Table) update() {
	all := gather(t.records)
	clear(t.suspects)
	for part, e := range all {
		if len(e.servers) >= suspectCrashes {
			t.suspects[part] = true
		}
	}
	old := t.patterns
	t.patterns = findPatterns(all, func(part string) time.Time { return t.answeredBy(part)[part] })
	t.markSurplus()
	t.evict()
	t.index()
	notify(old, t.patterns, t.cfg.OnRelease)
	notify(t.patterns, old, t.cfg.OnQuarantine)
}

// isFingerprint reports whether a part is the fingerprint of a request.
func isFingerprint(part string) bool { return strings.HasPrefix(part, FingerprintPrefix) }

// notify calls f for the patterns that others lacks.
func notify(patterns, others []Pattern, f func(Pattern)) {
	for _, p := range patterns {
		if !slices.ContainsFunc(others, func(other Pattern) bool { return slices.Equal(other.Parts, p.Parts) }) {
			f(p)
		}
	}
}

// index rebuilds byPart; mu must be held.
func (t *Table) index() {
	clear(t.byPart)
	for _, r := range t.records {
		for _, part := range r.suspects() {
			t.byPart[part] = append(t.byPart[part], r)
		}
	}
}
