package usage

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// Sealed holds the counts of a window, which never change after they are written to the store.
type Sealed struct {
	Window   int64            `json:"window"`
	Counts   map[string]int64 `json:"counts,omitempty"` // Requests by team; left out once the report needs no repetition.
	Accepted bool             `json:"accepted,omitempty"`
	Dropped  bool             `json:"dropped,omitempty"` // The window is not reported, since the store has no room for it.
}

// IsPending reports whether the report of the window has not been accepted.
func (s Sealed) IsPending() bool { return !s.Accepted && !s.Dropped }

// Record holds the latest sealed windows in ascending order. It is immutable.
type Record struct {
	Windows []Sealed `json:"windows"`
}

// DecodeRecord reads a record in the format of the store.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, eris.Wrap(err, "decode sealed usage windows")
}

// Encode returns the record in the format of the store. If it is longer than limit, windows are dropped, oldest first; 0 is no
// limit.
func (r Record) Encode(limit int) (Record, []byte, error) {
	for {
		b, err := json.Marshal(r)
		if err != nil {
			return r, nil, eris.Wrap(err, "encode sealed usage windows")
		}
		n := slices.IndexFunc(r.Windows, func(s Sealed) bool { return len(s.Counts) > 0 })
		if limit <= 0 || len(b) <= limit || n < 0 {
			return r, b, nil
		}
		r.Windows = slices.Clone(r.Windows)
		r.Windows[n].Counts = nil
		r.Windows[n].Dropped = !r.Windows[n].Accepted
	}
}

// Find returns a sealed window.
func (r Record) Find(window int64) (s Sealed, ok bool) {
	n, ok := slices.BinarySearchFunc(r.Windows, window, func(s Sealed, w int64) int { return cmp.Compare(s.Window, w) })
	if !ok {
		return Sealed{}, false
	}
	return r.Windows[n], true
}

// With returns the record with further sealed windows, without those that are too old. The counts of a window that it has
// already stay as they are; a window that was accepted or dropped in either stays so.
func (r Record) With(windows ...Sealed) Record {
	byNumber := map[int64]Sealed{}
	latest := int64(0)
	for _, s := range append(slices.Clone(r.Windows), windows...) {
		if old, ok := byNumber[s.Window]; ok {
			counts := old.Counts
			if old.Dropped && !s.Dropped && !old.Accepted {
				counts = s.Counts // The counts were dropped for lack of room.
			}
			s = Sealed{Window: s.Window, Counts: counts, Accepted: old.Accepted || s.Accepted, Dropped: old.Dropped && s.Dropped}
		}
		if s.Accepted {
			s.Counts, s.Dropped = nil, false
		}
		byNumber[s.Window] = s
		latest = max(latest, s.Window)
	}
	merged := Record{}
	for number, s := range byNumber {
		if number > latest-retainedWindows {
			merged.Windows = append(merged.Windows, s)
		}
	}
	slices.SortFunc(merged.Windows, func(a, b Sealed) int { return cmp.Compare(a.Window, b.Window) })
	return merged
}

// Covers reports whether the record has all the windows of another one.
func (r Record) Covers(other Record) bool {
	latest := int64(0)
	for _, s := range r.Windows {
		latest = max(latest, s.Window)
	}
	return !slices.ContainsFunc(other.Windows, func(s Sealed) bool {
		_, ok := r.Find(s.Window)
		return !ok && s.Window > latest-retainedWindows
	})
}

// IsSubset reports whether another record has all that this one says.
func (r Record) IsSubset(other Record) bool {
	return !slices.ContainsFunc(r.Windows, func(s Sealed) bool {
		o, ok := other.Find(s.Window)
		return !ok || s.Accepted && !o.Accepted || s.Dropped && !o.Dropped && !o.Accepted
	})
}

// Supersedes reports whether the record reaches further than another one.
func (r Record) Supersedes(other Record) bool {
	return r.latest() > other.latest()
}

// latest returns the number of the latest window; 0 if there is none.
func (r Record) latest() int64 {
	if len(r.Windows) == 0 {
		return 0
	}
	return r.Windows[len(r.Windows)-1].Window
}
