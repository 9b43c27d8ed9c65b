package claim

import "time"

// WriteCommitted reports that the store applied a write. It returns the asks that may now be granted, while the
// caller's right to grant holds.
func (j *Journal) WriteCommitted(_ time.Time, id uint64, mod int64) []string {
	f := j.inFlight
	if f == nil || f.ID != id {
		return nil
	}
	j.inFlight = nil
	j.ready = true
	j.openSlot.modRevision = mod
	if f.nextSlot != 0 {
		j.closeSlot(f.nextSlot, mod)
	}
	return markGrantable(f.entries)
}

// markGrantable marks the claims that wait for this write as grantable, and returns their asks.
func markGrantable(entries []*entry) []string {
	var asks []string
	for _, e := range entries {
		if !e.grantable && e.state == claimed {
			e.grantable = true
			asks = append(asks, e.ask)
		}
	}
	return asks
}

// WriteLost reports a write that got no answer or met a conflict. The slot must be read back.
func (j *Journal) WriteLost(_ time.Time, id uint64) {
	if f := j.inFlight; f != nil && f.ID == id {
		f.needsReadBack = true
	}
}

// WriteNotSent reports a write that was certainly not sent. It is repeated.
func (j *Journal) WriteNotSent(_ time.Time, id uint64) {
	if f := j.inFlight; f != nil && f.ID == id {
		f.resend = true
	}
}

// ReadBackDue returns the slot to read back if a read is due.
func (j *Journal) ReadBackDue(now time.Time) (slot int64, ok bool) {
	f := j.inFlight
	if f == nil || !f.needsReadBack || now.Sub(f.readBackAt) < retryInterval {
		return 0, false
	}
	f.readBackAt = now
	return f.Slot, true
}

// ReadBackDone reports the content of the slot and returns the asks that may now be granted. It returns an error if the
// content cannot be decoded; the write then stays unsettled.
func (j *Journal) ReadBackDone(now time.Time, slot int64, content []byte, mod int64, exists bool) ([]string, error) {
	f := j.inFlight
	if f == nil || !f.needsReadBack || f.Slot != slot {
		return nil, nil
	}
	if mod == f.ExpectedMod || !exists && f.ExpectedMod == 0 {
		f.needsReadBack = false
		f.resend = true
		return nil, nil
	}
	if !exists {
		j.markFenced() // A newer home has deleted the slot.
		return nil, nil
	}
	v, _, err := decodeSlot(content)
	if err != nil {
		return nil, err
	}
	switch {
	case v.Writer == j.cfg.Self && v.ID == f.ID:
		return j.WriteCommitted(now, f.ID, mod), nil
	case j.ready || v.Epoch > j.cfg.Epoch:
		j.markFenced()
		return nil, nil
	default: // An earlier home wrote the slot before this home's first write.
		j.inFlight = nil
		return nil, j.loadSlot(Slot{Number: slot, Value: content, Mod: mod})
	}
}

// ReadBackFailed reports that a read back got no answer. ReadBackDue will return the slot again.
func (j *Journal) ReadBackFailed(time.Time) {}
