package claim

import "time"

// Committed reports that the store applied a write and returns the asks that may now be granted, as long as the caller's
// right to grant holds.
func (j *Journal) Committed(_ time.Time, id uint64, mod int64) []string {
	f := j.flight
	if f == nil || f.ID != id {
		return nil
	}
	j.flight = nil
	j.ready = true
	j.open.mod = mod
	if f.next != 0 {
		j.close(f.next, mod)
	}
	return grant(f.claims)
}

func grant(entries []*entry) []string {
	var asks []string
	for _, e := range entries {
		if !e.granted && e.state == claimed {
			e.granted = true
			asks = append(asks, e.ask)
		}
	}
	return asks
}

// Lost reports a write without an answer, or a conflict; the slot must be read back.
func (j *Journal) Lost(_ time.Time, id uint64) {
	if f := j.flight; f != nil && f.ID == id {
		f.lost = true
	}
}

// Failed reports a write that was certainly not sent; it is repeated.
func (j *Journal) Failed(_ time.Time, id uint64) {
	if f := j.flight; f != nil && f.ID == id {
		f.resend = true
	}
}

// Unsettled returns the slot to read back when a read is due.
func (j *Journal) Unsettled(now time.Time) (slot int64, ok bool) {
	f := j.flight
	if f == nil || !f.lost || now.Sub(f.readAt) < retry {
		return 0, false
	}
	f.readAt = now
	return f.Slot, true
}

// ReadBack takes the slot's content and returns the asks that may now be granted. It fails when the content cannot be
// decoded; the write stays unsettled then.
func (j *Journal) ReadBack(now time.Time, slot int64, content []byte, mod int64, exists bool) ([]string, error) {
	f := j.flight
	if f == nil || !f.lost || f.Slot != slot {
		return nil, nil
	}
	if mod == f.Last || !exists && f.Last == 0 {
		f.lost = false
		f.resend = true
		return nil, nil
	}
	if !exists {
		j.fence() // A newer home forgot the slot.
		return nil, nil
	}
	v, _, err := decode(content)
	if err != nil {
		return nil, err
	}
	switch {
	case v.Writer == j.cfg.Self && v.ID == f.ID:
		return j.Committed(now, f.ID, mod), nil
	case j.ready || v.Epoch > j.cfg.Epoch:
		j.fence()
		return nil, nil
	default: // An earlier home wrote before the fence.
		j.flight = nil
		return nil, j.absorb(Slot{Number: slot, Value: content, Mod: mod})
	}
}

// ReadFailed reports a read back without an answer; it is repeated.
func (j *Journal) ReadFailed(time.Time) {}
