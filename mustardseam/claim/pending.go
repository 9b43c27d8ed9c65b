package claim

import (
	"slices"
	"time"
)

// flight is a write that is in flight or not settled. It is repeated unchanged until it is settled, because a lost one may
// still take effect: then either copy takes effect once, and both mean the same.
type flight struct {
	Write
	builtAt time.Time
	through int64 // Stamp.
	next    int64
	claims  []*entry // Committed by it.
	lost    bool     // To be read back.
	readAt  time.Time
	resend  bool
}

// retry is the time between two attempts while the store fails.
const retry = 250 * time.Millisecond

// Pending returns the next write when one is due and none is in flight.
func (j *Journal) Pending(now time.Time) (Write, bool) {
	if j.fenced || j.open == nil {
		return Write{}, false
	}
	since := now.Sub(j.writeAt)
	if f := j.flight; f != nil {
		if !f.resend || since < retry {
			return Write{}, false
		}
		f.resend = false
		j.writeAt = now
		return f.Write, true
	}
	batch := len(j.queue) > 0 && now.Sub(j.queuedAt) >= j.cfg.Batch
	if since < j.cfg.Interval || j.ready && !batch && since < j.cfg.Stamp {
		return Write{}, false
	}
	j.writeAt = now
	j.flight = j.build(now)
	return j.flight.Write, true
}

// build makes the write of the open slot. The first write of a home only fences earlier homes off.
func (j *Journal) build(now time.Time) *flight {
	f := &flight{builtAt: now}
	full := false
	if j.ready && j.open.number != 0 {
		full = j.fill(f)
	}
	if j.ready && len(j.queue) == 0 {
		j.through = now.UnixMilli()
	}
	if j.ready && (full || now.Unix()-j.open.number >= int64(j.cfg.Slot/time.Second)) {
		f.next = max(j.open.number+1, now.Unix())
	}
	horizon := now.Add(-j.cfg.remembered()).Unix()
	j.gaps = slices.DeleteFunc(j.gaps, func(g gap) bool { return g.To < horizon })
	j.lastID++
	f.through = j.through
	v := value{
		Epoch: j.cfg.Epoch, Writer: j.cfg.Self, ID: j.lastID, Through: f.through, Next: f.next,
		Gaps: j.gaps, Names: j.open.list, Rows: j.open.rows,
	}
	f.Write = Write{Slot: j.open.number, Value: v.encode(), ID: j.lastID, Last: j.open.mod}
	return f
}

// fill moves queued entries into the open slot until it is full.
func (j *Journal) fill(f *flight) (full bool) {
	limit := j.cfg.MaxSlotBytes - len(j.gaps)*gapBytes
	placed := 0
	for _, e := range j.queue {
		if e.slot == 0 && e.state == notRun {
			placed++ // Never written, nothing to free.
			continue
		}
		fresh := e.row < 0
		if !j.open.place(e, limit) {
			full = true
			break
		}
		placed++
		e.queued = false
		if fresh {
			j.bySlot[e.slot] = append(j.bySlot[e.slot], e)
		}
		f.claims = append(f.claims, e)
	}
	j.queue = slices.Clone(j.queue[placed:])
	return full
}

// gapBytes bounds the encoded size of a gap.
const gapBytes = 48
