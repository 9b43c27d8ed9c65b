package claim

import (
	"slices"
	"time"
)

// inFlightWrite is a write that is in flight or not settled. It is repeated unchanged until it is settled, because a
// lost copy may still take effect. Only one of the copies can take effect, and both have the same content.
type inFlightWrite struct {
	Write
	builtAt         time.Time // When the write was built; it is not changed by repetitions.
	completeThrough int64     // Complete-through stamp of the write.
	nextSlot        int64     // Number of the next slot if the write closes its slot, else 0.
	entries         []*entry  // Claims and outcomes that the write commits.
	needsReadBack   bool      // The write was lost, so that the slot must be read back.
	readBackAt      time.Time // When the last read back was requested.
	resend          bool      // The write must be sent again, unchanged.
}

// retryInterval is the time between two attempts while the store fails.
const retryInterval = 250 * time.Millisecond

// NextWrite returns the next write if one is due and none is in flight.
func (j *Journal) NextWrite(now time.Time) (Write, bool) {
	if j.fenced || j.openSlot == nil {
		return Write{}, false
	}
	since := now.Sub(j.lastWriteAt)
	if f := j.inFlight; f != nil {
		if !f.resend || since < retryInterval {
			return Write{}, false
		}
		f.resend = false
		j.lastWriteAt = now
		return f.Write, true
	}
	batch := len(j.queue) > 0 && now.Sub(j.oldestQueuedAt) >= j.cfg.BatchDelay
	if since < j.cfg.MinWriteInterval || j.ready && !batch && since < j.cfg.StampInterval {
		return Write{}, false
	}
	j.lastWriteAt = now
	j.inFlight = j.buildWrite(now)
	return j.inFlight.Write, true
}

// buildWrite builds the next write of the open slot. The first write of a home adds no rows; it only fences off
// earlier homes.
func (j *Journal) buildWrite(now time.Time) *inFlightWrite {
	f := &inFlightWrite{builtAt: now}
	full := false
	if j.ready && j.openSlot.number != 0 {
		full = j.placeQueued(f)
	}
	if j.ready && len(j.queue) == 0 {
		j.completeThrough = now.UnixMilli()
	}
	if j.ready && (full || now.Unix()-j.openSlot.number >= int64(j.cfg.SlotDuration/time.Second)) {
		f.nextSlot = max(j.openSlot.number+1, now.Unix())
	}
	horizon := now.Add(-j.cfg.slotRetention()).Unix()
	j.gaps = slices.DeleteFunc(j.gaps, func(g gap) bool { return g.To < horizon })
	j.lastWriteID++
	f.completeThrough = j.completeThrough
	v := slotContent{
		Epoch: j.cfg.Epoch, Writer: j.cfg.Self, ID: j.lastWriteID, Through: f.completeThrough, Next: f.nextSlot,
		Gaps: j.gaps, Names: j.openSlot.names, Rows: j.openSlot.rows,
	}
	f.Write = Write{Slot: j.openSlot.number, Value: v.encode(), ID: j.lastWriteID, ExpectedMod: j.openSlot.modRevision}
	return f
}

// placeQueued moves queued entries into the open slot until it is full.
func (j *Journal) placeQueued(f *inFlightWrite) (full bool) {
	limit := j.cfg.MaxSlotBytes - len(j.gaps)*maxGapBytes
	placed := 0
	for _, e := range j.queue {
		if e.lastSlot == 0 && e.state == notRun {
			placed++ // The claim was never written, so that there is nothing to free.
			continue
		}
		fresh := e.rowIndex < 0
		if !j.openSlot.place(e, limit) {
			full = true
			break
		}
		placed++
		e.queued = false
		if fresh {
			j.entriesBySlot[e.lastSlot] = append(j.entriesBySlot[e.lastSlot], e)
		}
		f.entries = append(f.entries, e)
	}
	j.queue = slices.Clone(j.queue[placed:])
	return full
}

// maxGapBytes bounds the encoded size of a gap.
const maxGapBytes = 48
