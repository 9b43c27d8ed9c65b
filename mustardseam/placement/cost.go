package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// Defaults that apply until there are measurements.
const (
	defaultInterTokenMS      = 6.0   // Inter-token latency in milliseconds.
	defaultPromptTokensPerMS = 40.0  // Prompt tokens processed per millisecond.
	defaultFirstEventBaseMS  = 20.0  // Milliseconds to the first event that do not depend on the prompt.
	defaultLatencyMS         = 30.0  // Milliseconds to the answer of a plain service.
	defaultOutputTokens      = 100.0 // Output tokens per request.
	defaultServiceTimeMS     = 700.  // Milliseconds that a request occupies a slot of an engine.
)

const (
	// prefillChunk is the number of prompt tokens that an engine processes in one step beside the tokens of other requests.
	prefillChunk = 2048
	// outputWeight is the weight of the output time relative to the time to the first event.
	outputWeight = 1
	// latePenaltyMS is added for a backend server at which the job or the streams that run there are expected to be late. It
	// exceeds the usual differences between backend servers, so that one of these is used only if no other has room.
	latePenaltyMS = 2000.0
	// dataCentrePenaltyMS is added for a backend server in another data centre, since traffic between data centres costs.
	dataCentrePenaltyMS = 3.0
	// failurePenaltyMS is added in proportion to the square of the failure rate.
	failurePenaltyMS = 4000.0
	// maxCostOffsetMS is the largest cost offset that an instance adds for a backend server. It applies in full once the
	// mean number of unseen requests per backend server reaches 1. Without it, all instances choose the same backend
	// server from the same outdated reports and fill its queue.
	maxCostOffsetMS = 400.0
	// minCostOffsetFraction is the fraction of maxCostOffsetMS that always applies, so that idle instances choose
	// differently among similar backend servers. The product stays below dataCentrePenaltyMS.
	minCostOffsetFraction = 0.005
)

// jobEstimate holds the inputs to the cost of a job that are the same for all backend servers of a service.
type jobEstimate struct {
	service          *fleet.Service
	job              *Job
	model            *serviceModel
	firstEventBaseMS float64            // Milliseconds to the first event that do not depend on the prompt.
	promptTokenMS    float64            // Milliseconds per prompt token at average speed.
	outputTokens     float64            // Expected output tokens of the job.
	leftMS           float64            // Milliseconds until the objective; negative after it.
	prompt           *promptcache.Match // What the engines keep of the prompt of the job; nil for nothing.
	kept             int                // Prompt tokens that the backend server keeps whose cost is predicted.
}

// estimateJob returns the estimate for a job at any backend server of a service. visitHolders is as for matchPrompt.
func (b *Board) estimateJob(now time.Time, svc *fleet.Service, j *Job, visitHolders bool) jobEstimate {
	est := jobEstimate{service: svc, job: j, model: b.model(svc.Name), outputTokens: b.expectedOutput(j)}
	est.leftMS = float64(j.Objective.Sub(now).Microseconds()) / 1000
	est.firstEventBaseMS, est.promptTokenMS = est.model.firstEvent.coefficients()
	est.prompt = b.matchPrompt(j, visitHolders)
	return est
}

// cost predicts what a job costs at a backend server, in milliseconds: the wait for a slot, the processing of the
// prompts before it and of its own, and its weighted output time, plus penalties.
func (b *Board) cost(st *serverState, est jobEstimate, s *fleet.Server) float64 {
	load, m, j := st.load(), est.model, est.job
	cost := failurePenaltyMS*st.failureRate*st.failureRate + maxCostOffsetMS*max(minCostOffsetFraction, min(1, b.unseenPerServer))*st.costOffset
	if s.DataCentre != j.DataCentre {
		cost += dataCentrePenaltyMS
	}
	slots := max(1, s.Slots)
	if !est.service.Engine {
		latency := st.latency.valueOr(m.serviceTime.valueOr(defaultLatencyMS))
		return cost + latency*(1+float64(load.Requests)/float64(slots))
	}
	slowdown := b.slowdown(st, m)
	firstEventMS := est.firstEventBaseMS + slowdown*float64(load.PromptTokens+j.PromptTokens)*est.promptTokenMS
	if load.Requests >= slots {
		firstEventMS += slowdown * m.serviceTime.valueOr(defaultServiceTimeMS) * float64(load.Requests-slots+1) / float64(slots)
	}
	interToken := st.interToken.valueOr(m.interToken.valueOr(defaultInterTokenMS))
	cost += firstEventMS - b.promptGain(st, &est, load, slowdown, interToken) + outputWeight*interToken*est.outputTokens
	if late := est.leftMS > 0 && firstEventMS-slowdown*float64(est.kept)*est.promptTokenMS > est.leftMS; late || b.stallsStreams(st, est) {
		cost += latePenaltyMS
	}
	return cost
}

// PredictFirstEvent predicts the time to the first event of a job at a backend server, for which ExpectKept was called.
func (b *Board) PredictFirstEvent(svc *fleet.Service, s *fleet.Server, j *Job) time.Duration {
	st, m := b.state(s), b.model(svc.Name)
	if !svc.Engine {
		return milliseconds(st.latency.valueOr(m.serviceTime.valueOr(defaultLatencyMS)))
	}
	load := st.load()
	firstEventMS := m.firstEvent.predict(b.slowdown(st, m) * float64(load.PromptTokens+j.UnreadTokens()))
	if queued := load.Requests - max(1, s.Slots) + 1; queued > 0 {
		firstEventMS += b.slowdown(st, m) * m.serviceTime.valueOr(defaultServiceTimeMS) * float64(queued) / float64(max(1, s.Slots))
	}
	return milliseconds(firstEventMS)
}

// PredictIdleFirstEvent predicts the time to the first event of a job at an idle backend server of average speed.
func (b *Board) PredictIdleFirstEvent(svc *fleet.Service, j *Job) time.Duration {
	m := b.model(svc.Name)
	if !svc.Engine {
		return milliseconds(m.serviceTime.valueOr(defaultLatencyMS))
	}
	return milliseconds(m.firstEvent.predict(float64(j.UnreadTokens())))
}

// expectedOutput predicts the output tokens of a job. The maximum that a caller allows is far above what most requests
// need, so the caller's hint is used if there is one, and otherwise the mean of the route.
func (b *Board) expectedOutput(j *Job) float64 {
	if j.OutputHint > 0 {
		return float64(min(j.OutputHint, max(j.MaxOutputTokens, 1)))
	}
	out := b.meanOutputs[j.Route]
	return min(out.valueOr(defaultOutputTokens), float64(max(j.MaxOutputTokens, 1)))
}

// slowdown returns the ratio of a backend server's inter-token latency to the average of its service, or 1 if it is
// unknown.
func (b *Board) slowdown(st *serverState, m *serviceModel) float64 {
	if st.interToken.count == 0 || m.usualInterToken.count == 0 || m.usualInterToken.value <= 0 {
		return 1
	}
	return st.interToken.value / m.usualInterToken.value
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
