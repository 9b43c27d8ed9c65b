package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// maxGapShare is the share of the gap between events that the expected pause of a stream may take. Requests that arrive later
// lengthen it.
const maxGapShare = 0.8

// stallsStreams reports whether processing the prompt of a job would make the streams of a backend server pause for longer than
// the gap between events that callers expect. An engine processes prompts in chunks between the tokens of other requests, so
// each token of an event may wait for a chunk.
func (b *Board) stallsStreams(st *serverState, est jobEstimate) bool {
	j, load := est.job, st.load()
	if j.Gap <= 0 || load.Requests == 0 {
		return false
	}
	tokens := float64(max(1, est.service.TokensPerEvent))
	interToken := st.interToken.valueOr(est.model.interToken.valueOr(defaultInterTokenMS))
	prompt := min(float64(load.PromptTokens+j.PromptTokens-est.kept), tokens*prefillChunk)
	stall := b.slowdown(st, est.model) * prompt * est.promptTokenMS
	return tokens*interToken+stall > maxGapShare*float64(j.Gap.Microseconds())/1000
}

// WaitsForOther reports whether a job should rather wait than be sent to a backend server with a free slot. It answers a load
// under which the fast engines of a mixed fleet are full, and leaves the slots of the slow ones to jobs that are in time there.
// A job waits while it could still meet its objective at a backend server of usual speed and it, or the streams that run there,
// would be late; and while its caller would disconnect before the first event there, but not at one of usual speed.
func (b *Board) WaitsForOther(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job) bool {
	if !svc.Engine || j.Gap <= 0 {
		return false
	}
	est, st := b.estimateJob(now, svc, j, false), b.state(s)
	est.kept = est.prompt.Kept(st.engine)
	usualMS := est.firstEventBaseMS + float64(j.PromptTokens)*est.promptTokenMS
	unread := float64(st.load().PromptTokens + j.PromptTokens - est.kept)
	firstEventMS := est.firstEventBaseMS + b.slowdown(st, est.model)*unread*est.promptTokenMS
	if usualMS <= est.leftMS {
		return firstEventMS > est.leftMS || b.stallsStreams(st, est)
	}
	patienceMS := float64(j.patienceEnd().Sub(now).Microseconds()) / 1000
	return usualMS <= patienceMS && firstEventMS > patienceMS
}
