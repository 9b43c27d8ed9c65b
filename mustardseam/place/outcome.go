package place

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// fullRetryDelay is how long a backend server gets no requests after it refused one for lack of room.
const fullRetryDelay = 200 * time.Millisecond

// Start records that a job is sent to a backend server.
func (b *Board) Start(now time.Time, s *fleet.Server, j *Job) {
	st := b.state(s)
	l := st.loadFor(j)
	l.Requests++
	l.Prompt += j.Prompt
	st.sentSinceReport++
	st.lastDispatch = now
}

// Began records the first event of a job, by which its prompt has been processed. ahead is the load of the backend
// server when the job was sent, and first is the time from then to the event.
func (b *Board) Began(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, ahead Load, first time.Duration) {
	st, m := b.state(s), b.model(svc.Name)
	l := st.loadFor(j)
	l.Prompt = max(0, l.Prompt-j.Prompt)
	st.lastAnswer, st.unreachable = now, false
	// The time of a request that waited for a slot does not show how fast prompts are processed.
	if svc.Engine && j.Prompt > 0 && ahead.Requests < s.Slots {
		m.firstEvent.add(b.slowdown(st, m)*float64(j.Prompt+ahead.Prompt), float64(first.Microseconds())/1000)
	}
}

// Outcome describes how a job ended at a backend server.
type Outcome struct {
	Answered  bool          `json:"answered,omitempty"`  // An answer arrived, successful or not.
	OK        bool          `json:"ok,omitempty"`        // The answer was successful and complete.
	Refused   bool          `json:"refused,omitempty"`   // The backend server reported that it did not run the job.
	Quiet     time.Duration `json:"quiet-ns,omitempty"`  // Backoff that the backend server requested from the instance.
	Unreached bool          `json:"unreached,omitempty"` // No connection could be made.
	Left      bool          `json:"left,omitempty"`      // Caller gone or deadline passed; no evidence on the backend server.
	First     bool          `json:"first,omitempty"`     // The first event arrived.
	Total     time.Duration `json:"total-ns,omitempty"`  // Time from dispatch to the end.
	Pace      time.Duration `json:"pace-ns,omitempty"`   // Inter-token latency; 0 if unknown.
	Output    int           `json:"output,omitempty"`    // Number of output tokens.
}

// Finish records the end of a job that was started.
func (b *Board) Finish(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, o Outcome) {
	st, m := b.state(s), b.model(svc.Name)
	l := st.loadFor(j)
	l.Requests = max(0, l.Requests-1)
	st.endedSinceReport++
	if !o.First {
		l.Prompt = max(0, l.Prompt-j.Prompt)
	}
	switch {
	case o.Left:
	case o.Refused:
		st.lastAnswer, st.unreachable = now, false
		st.fullUntil = now.Add(fullRetryDelay)
		if o.Quiet > 0 {
			st.addBackoff(now, j.Instance, o.Quiet)
			if until := now.Add(o.Quiet); until.After(b.backoffUntil) {
				b.backoffUntil = until
			}
		}
	case o.Answered:
		st.recordAnswer(now, o.OK)
	default:
		st.recordFailedContact(now, !o.Unreached)
	}
	if !o.OK {
		return
	}
	total := float64(o.Total.Microseconds()) / 1000
	m.serviceTime.add(total)
	if !svc.Engine {
		st.latency.add(total)
	}
	if o.Pace > 0 {
		b.Paced(svc, s, o.Pace)
	}
	if o.Output > 0 {
		out := b.meanOutputs[j.Route]
		out.add(float64(o.Output))
		b.meanOutputs[j.Route] = out
	}
}

// Paced records the inter-token latency of a stream.
func (b *Board) Paced(svc *fleet.Service, s *fleet.Server, pace time.Duration) {
	ms := float64(pace.Microseconds()) / 1000
	st := b.state(s)
	st.interToken.add(ms)
	st.interTokenChanged = true
	b.model(svc.Name).interToken.add(ms)
}
