package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

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
			r.sound[part] = t.answeredBy(part)[part].After(at)
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

// Unsaved returns the crashes to save for instances that start after the loss of all, or nil if the saved ones are those that
// matter. Saved crashes that no longer count are left out, so that no instance takes them up again.
func (t *Table) Unsaved(now time.Time, saved []fleet.Crash) []fleet.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[recordKey]fleet.Crash{}
	for _, c := range saved {
		known[newKey(c.Server, normalize(c.Parts))] = c
	}
	crashes := []fleet.Crash{}
	complete := true
	for key := range known {
		complete = complete && t.records[key] != nil
	}
	for key, r := range t.records {
		old, isSaved := known[key]
		if !isSaved && (r.surplus || !slices.ContainsFunc(r.suspects(), func(part string) bool { return t.suspects[part] })) {
			continue
		}
		c := r.crash(now)
		complete = complete && isSaved && len(old.Sound) >= len(c.Sound)
		crashes = append(crashes, c)
	}
	if complete {
		return nil
	}
	return crashes
}
