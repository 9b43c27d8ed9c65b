package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// minCrashes is the number of incarnations of backend servers that must crash on a part before it is refused.
	minCrashes = 4
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
	maxParts     = 64
	maxPartBytes = 64
	// maxMessageCrashes bounds the crashes in a message; the rest follow in the next one.
	maxMessageCrashes = 64
)

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
	sequence int64                 // Number of the latest change.
	patterns []Pattern
	suspects map[string]bool      // Parts that were in the prompt at suspectCrashes or more.
	byPart   map[string][]*record // Records with each part that is not known to be sound.
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[recordKey]*record{}, answered: map[string]time.Time{}, suspects: map[string]bool{}, byPart: map[string][]*record{}}
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
		t.answered[part] = now
	}
	t.pruneAnswered()
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

// Merge adds the crashes that another instance knows.
func (t *Table) Merge(now time.Time, crashes []fleet.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, c := range crashes {
		changed = t.merge(now, c) || changed
	}
	if changed {
		t.update()
	}
}

// merge adds a crash and reports whether it changed the table; mu must be held.
func (t *Table) merge(now time.Time, c fleet.Crash) bool {
	parts := normalize(c.Parts)
	if len(parts) == 0 {
		return false
	}
	key := newKey(c.Server, parts)
	at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	refused := now.Add(-time.Duration(c.RefusedMS) * time.Millisecond)
	r, known := t.records[key]
	if !known {
		r = &record{server: c.Server, parts: parts, sound: map[string]bool{}, at: at, refused: at}
		for _, part := range parts {
			r.sound[part] = t.answered[part].After(at)
		}
		t.records[key] = r
	}
	changed := !known
	for _, part := range c.Sound {
		if r.has(part) {
			r.sound[part] = true
			changed = true
		}
	}
	if refused.Sub(r.refused) >= renewalInterval {
		r.refused = refused
		changed = true
	}
	if changed {
		t.touch(r)
	}
	return changed
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
		return t.suspects[part] && now.Sub(t.answered[part]) > suspectAnswerAge
	})
}

// Since returns the crashes that changed after a number of changes, and the number up to which they are complete.
func (t *Table) Since(now time.Time, sequence int64) ([]fleet.Crash, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []*record
	for _, r := range t.records {
		if r.sequence > sequence {
			changed = append(changed, r)
		}
	}
	if len(changed) == 0 {
		return nil, t.sequence
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
	upTo := t.sequence
	if len(changed) > maxMessageCrashes {
		changed = changed[:maxMessageCrashes]
		upTo = changed[maxMessageCrashes-1].sequence
	}
	crashes := make([]fleet.Crash, len(changed))
	for i, r := range changed {
		crashes[i] = r.crash(now)
	}
	return crashes, upTo
}

// Unsaved returns the crashes to save for instances that start after the loss of all, or nil if the saved ones include all
// that matters.
func (t *Table) Unsaved(now time.Time, saved []fleet.Crash) []fleet.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[recordKey]fleet.Crash{}
	for _, c := range saved {
		known[newKey(c.Server, normalize(c.Parts))] = c
	}
	var crashes []fleet.Crash
	complete := true
	for key, r := range t.records {
		old, isSaved := known[key]
		if !isSaved && (r.surplus || !slices.ContainsFunc(r.suspects(), func(part string) bool { return t.suspects[part] })) {
			continue
		}
		c := r.crash(now)
		complete = complete && isSaved && len(old.Sound) >= len(c.Sound) &&
			old.RefusedMS-c.RefusedMS < (RefusalTime/2).Milliseconds()
		crashes = append(crashes, c)
	}
	if complete {
		return nil
	}
	return crashes
}

// Patterns returns the patterns whose requests are refused.
func (t *Table) Patterns(now time.Time) []Pattern {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(t.patterns), func(p Pattern) bool { return now.Before(p.From) })
}

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
	t.patterns = findPatterns(all, t.answered)
	t.markSurplus()
	t.evict()
	t.index()
	notify(old, t.patterns, t.cfg.OnRelease)
	notify(t.patterns, old, t.cfg.OnQuarantine)
}

// notify calls f for the patterns that others lacks.
func notify(patterns, others []Pattern, f func(Pattern)) {
	for _, p := range patterns {
		if !slices.ContainsFunc(others, func(other Pattern) bool { return slices.Equal(other.Parts, p.Parts) }) {
			f(p)
		}
	}
}

// markSurplus marks the latest records of each pattern beyond maxSupport; mu must be held.
func (t *Table) markSurplus() {
	for _, r := range t.records {
		r.surplus = false
	}
	for _, p := range t.patterns {
		var support []*record
		for _, r := range t.records {
			if r.hasAll(p.Parts) {
				support = append(support, r)
			}
		}
		slices.SortFunc(support, func(a, b *record) int { return a.at.Compare(b.at) })
		for i, r := range support {
			r.surplus = i >= maxSupport
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

// evict removes the least useful records beyond maxRecords and, of a backend server, beyond maxServerRecords; mu must be held.
func (t *Table) evict() {
	byServer := map[fleet.Incarnation]int{}
	most := 0
	for key := range t.records {
		byServer[key.server]++
		most = max(most, byServer[key.server])
	}
	if len(t.records) <= maxRecords && most <= maxServerRecords {
		return
	}
	usefulness := func(r *record) int {
		suspects := r.suspects()
		switch {
		case len(suspects) == 0 || r.surplus:
			return 0
		case !slices.ContainsFunc(suspects, func(part string) bool { return t.suspects[part] }):
			return 1
		}
		return 2
	}
	type candidate struct {
		key        recordKey
		usefulness int
		at         time.Time
	}
	var all []candidate
	for key, r := range t.records {
		all = append(all, candidate{key, usefulness(r), r.at})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.usefulness, b.usefulness), a.at.Compare(b.at))
	})
	excess := 0
	if len(all) > maxRecords {
		excess = len(all) - recordsAfterEviction
	}
	for n, c := range all {
		if n < excess || byServer[c.key.server] > maxServerRecords {
			byServer[c.key.server]--
			delete(t.records, c.key)
		}
	}
}

// pruneAnswered drops the older half of the answers beyond maxAnswered; mu must be held.
func (t *Table) pruneAnswered() {
	if len(t.answered) <= maxAnswered {
		return
	}
	times := make([]time.Time, 0, len(t.answered))
	for _, at := range t.answered {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := times[len(times)/2]
	for part, at := range t.answered {
		if !at.After(limit) {
			delete(t.answered, part)
		}
	}
}

// normalize returns the parts of a prompt in order, each once, without those beyond the bounds.
func normalize(parts []string) []string {
	parts = slices.DeleteFunc(slices.Clone(parts[:min(len(parts), maxParts)]), func(part string) bool {
		return part == "" || len(part) > maxPartBytes
	})
	slices.Sort(parts)
	return slices.Compact(parts)
}
