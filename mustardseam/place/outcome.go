package place

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// fullPause is how long a backend server that refused a request for want of room is passed over.
const fullPause = 200 * time.Millisecond

// Start records that a job is sent to a backend server.
func (b *Board) Start(now time.Time, s *fleet.Server, j *Job) {
	a := b.account(s)
	l := a.part(j)
	l.Requests++
	l.Prompt += j.Prompt
	a.recent++
	a.used = now
}

// Began records the first event of a job, whose prompt is read; ahead is what the backend server had when it was sent.
func (b *Board) Began(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, ahead Load, first time.Duration) {
	a, m := b.account(s), b.model(svc.Name)
	l := a.part(j)
	l.Prompt = max(0, l.Prompt-j.Prompt)
	a.answered, a.crashed = now, false
	// A request that found no free slot waited, which does not tell how fast prompts are read.
	if svc.Engine && j.Prompt > 0 && ahead.Requests < s.Slots {
		m.first.add(b.speed(a, m)*float64(j.Prompt+ahead.Prompt), float64(first.Microseconds())/1000)
	}
}

// Outcome is how a job ended at a backend server.
type Outcome struct {
	Answered  bool          `json:"answered,omitempty"`  // An answer came, good or not.
	OK        bool          `json:"ok,omitempty"`        // The answer was a success and complete.
	Refused   bool          `json:"refused,omitempty"`   // The backend server said that it did not run the job.
	Quiet     time.Duration `json:"quiet-ns,omitempty"`  // The backend server wants nothing from the instance for so long.
	Unreached bool          `json:"unreached,omitempty"` // No connection could be made.
	Left      bool          `json:"left,omitempty"`      // The caller left or the deadline passed; no word on the backend server.
	First     bool          `json:"first,omitempty"`     // The first event has come.
	Total     time.Duration `json:"total-ns,omitempty"`  // From the sending to the end.
	Pace      time.Duration `json:"pace-ns,omitempty"`   // From token to token; 0 when unknown.
	Output    int           `json:"output,omitempty"`    // Tokens that were written.
}

// Finish records the end of a job that was started.
func (b *Board) Finish(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, o Outcome) {
	a, m := b.account(s), b.model(svc.Name)
	l := a.part(j)
	l.Requests = max(0, l.Requests-1)
	a.freed++
	if !o.First {
		l.Prompt = max(0, l.Prompt-j.Prompt)
	}
	switch {
	case o.Left:
	case o.Refused:
		a.answered, a.crashed = now, false
		a.full = now.Add(fullPause)
		if o.Quiet > 0 {
			a.hush(now, j.Instance, o.Quiet)
			if until := now.Add(o.Quiet); until.After(b.quiet) {
				b.quiet = until
			}
		}
	case o.Answered:
		a.answer(now, o.OK)
	default:
		a.miss(now, !o.Unreached)
	}
	if !o.OK {
		return
	}
	total := float64(o.Total.Microseconds()) / 1000
	m.service.add(total)
	if !svc.Engine {
		a.latency.add(total)
	}
	if o.Pace > 0 {
		b.Paced(svc, s, o.Pace)
	}
	if o.Output > 0 {
		out := b.outputs[j.Route]
		out.add(float64(o.Output))
		b.outputs[j.Route] = out
	}
}

// Paced records the pace of a stream, from token to token.
func (b *Board) Paced(svc *fleet.Service, s *fleet.Server, pace time.Duration) {
	ms := float64(pace.Microseconds()) / 1000
	a := b.account(s)
	a.pace.add(ms)
	a.untold = true
	b.model(svc.Name).pace.add(ms)
}
