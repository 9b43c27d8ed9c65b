package placement

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
	l.PromptTokens += j.UnreadTokens()
	b.beginPrompt(st, j)
	st.sentSinceReport++
	st.lastDispatch = now
}

// RecordFirstEvent records the first event of a job. The prompt has been processed by then. ahead is the load of the
// backend server when the job was sent, and latency is the time from then to the event.
func (b *Board) RecordFirstEvent(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, ahead Load, latency time.Duration) {
	st, m := b.state(s), b.model(svc.Name)
	l := st.loadFor(j)
	l.PromptTokens = max(0, l.PromptTokens-j.UnreadTokens())
	b.readPrompt(st, j)
	st.lastAnswer, st.connectFailed = now, false
	// The time of a request that waited for a slot does not show how fast prompts are processed.
	if svc.Engine && j.PromptTokens > 0 && ahead.Requests < s.Slots {
		m.firstEvent.add(b.slowdown(st, m)*float64(j.UnreadTokens()+ahead.PromptTokens), float64(latency.Microseconds())/1000)
	}
}

// Outcome describes how a job ended at a backend server. The zero value is a request that got no answer although a
// connection was made.
type Outcome struct {
	Answered    bool          `json:"answered,omitempty"`  // An answer arrived, successful or not.
	OK          bool          `json:"ok,omitempty"`        // The answer was successful and complete.
	NotRun      bool          `json:"refused,omitempty"`   // The backend server reported that it did not run the job.
	Backoff     time.Duration `json:"quiet-ns,omitempty"`  // Backoff that the backend server requested from the instance.
	Unreachable bool          `json:"unreached,omitempty"` // No connection could be made.
	Abandoned   bool          `json:"left,omitempty"`      // Caller gone or deadline passed; says nothing about its health.
	FirstEvent  bool          `json:"first,omitempty"`     // The first event arrived.
	Total       time.Duration `json:"total-ns,omitempty"`  // Time from dispatch to the end.
	InterToken  time.Duration `json:"pace-ns,omitempty"`   // Inter-token latency; 0 if unknown.
	Output      int           `json:"output,omitempty"`    // Number of output tokens.
}

// Finish records the end of a job that was started.
func (b *Board) Finish(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, o Outcome) {
	st, m := b.state(s), b.model(svc.Name)
	l := st.loadFor(j)
	l.Requests = max(0, l.Requests-1)
	st.endedSinceReport++
	if !o.FirstEvent {
		l.PromptTokens = max(0, l.PromptTokens-j.UnreadTokens())
	}
	b.endPrompt(st, j, o)
	switch {
	case o.Abandoned:
	case o.NotRun:
		st.lastAnswer, st.connectFailed = now, false
		st.fullUntil = now.Add(fullRetryDelay)
		if o.Backoff > 0 {
			st.addBackoff(now, j.Instance, o.Backoff)
			if until := now.Add(o.Backoff); until.After(b.backoffUntil) {
				b.backoffUntil = until
			}
		}
	case o.Answered:
		st.recordAnswer(now, o.OK)
	default:
		st.recordFailedAttempt(now, !o.Unreachable)
	}
	if !o.OK {
		return
	}
	total := float64(o.Total.Microseconds()) / 1000
	m.serviceTime.addWeighted(total, serviceSmoothing)
	if !svc.Engine {
		st.latency.add(total)
	}
	if o.InterToken > 0 {
		b.RecordInterToken(svc, s, o.InterToken)
	}
	if o.Output > 0 {
		out := b.meanOutputs[j.Route]
		out.add(float64(o.Output))
		b.meanOutputs[j.Route] = out
	}
}

// RecordInterToken records the inter-token latency of a stream.
func (b *Board) RecordInterToken(svc *fleet.Service, s *fleet.Server, interToken time.Duration) {
	ms := float64(interToken.Microseconds()) / 1000
	st := b.state(s)
	st.interToken.add(ms)
	st.interTokenChanged = true
	m := b.model(svc.Name)
	m.interToken.add(ms)
	m.usualInterToken.addWeighted(ms, serviceSmoothing)
}
