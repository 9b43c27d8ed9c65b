package place

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Values that hold until measurements replace them.
const (
	defaultPace    = 6.0   // Milliseconds from token to token.
	defaultRead    = 40.0  // Prompt tokens read in a millisecond.
	firstTokenTime = 20.0  // Milliseconds to the first event beside the prompt.
	defaultLatency = 30.0  // Milliseconds of a plain service.
	defaultOutput  = 100.0 // Tokens that a request writes.
	defaultService = 700.  // Milliseconds that a request holds a slot of an engine.
)

const (
	// chunk is the number of prompt tokens that an engine reads in one step beside the tokens of other requests.
	chunk = 2048
	// paceWeight is the weight of the time for the output against the time to the first event.
	paceWeight = 1
	// pausePenalty is added, in milliseconds, where the prompt would pause the streams beside it for longer than their
	// callers hope.
	pausePenalty = 400.0
	// zonePenalty is added, in milliseconds, for a backend server in another data centre; bytes between them cost.
	zonePenalty = 3.0
	// failPenalty is added, in milliseconds, in proportion to the share of failures.
	failPenalty = 4000.0
	// unheardBias is the cost, in milliseconds, by which the preferences of instances differ when each backend server gets a
	// request that an instance has not heard of. Without it all instances choose the same backend server from the same old
	// word of the others and fill its queue.
	unheardBias = 400.0
	// leastBias is the part of unheardBias that always counts, so that idle instances choose differently among like backend
	// servers; it stays below zonePenalty.
	leastBias = 0.005
)

// prospect is what all backend servers of a service have in common for a job.
type prospect struct {
	service *fleet.Service
	job     *Job
	model   *engineModel
	base    float64 // Milliseconds to the first event beside the prompt.
	read    float64 // Milliseconds that a token of a prompt takes at average pace.
	output  float64 // Tokens that the job writes.
}

func (b *Board) prospect(svc *fleet.Service, j *Job) prospect {
	p := prospect{service: svc, job: j, model: b.model(svc.Name), output: b.output(j)}
	p.base, p.read = p.model.first.fit()
	return p
}

// cost predicts what a job takes at a backend server, in milliseconds: the wait for a slot, the reading of the prompts
// before it and its own, and a part of its output.
func (b *Board) cost(a *account, p prospect, s *fleet.Server) float64 {
	load, m, j := a.load(), p.model, p.job
	cost := failPenalty*a.failures*a.failures + unheardBias*max(leastBias, min(1, b.unheard))*a.bias
	if s.DataCentre != j.DataCentre {
		cost += zonePenalty
	}
	slots := max(1, s.Slots)
	if !p.service.Engine {
		latency := a.latency.or(m.service.or(defaultLatency))
		return cost + latency*(1+float64(load.Requests)/float64(slots))
	}
	speed := b.speed(a, m)
	first := p.base + speed*float64(load.Prompt+j.Prompt)*p.read
	if load.Requests >= slots {
		first += speed * m.service.or(defaultService) * float64(load.Requests-slots+1) / float64(slots)
	}
	pace := a.pace.or(m.pace.or(defaultPace))
	cost += first + paceWeight*pace*p.output
	if j.Gap > 0 && load.Requests > 0 && j.Prompt > chunk {
		step := pace + speed*chunk*p.read
		if step*float64(max(1, p.service.Stride)) > 0.8*float64(j.Gap.Milliseconds()) {
			cost += pausePenalty
		}
	}
	return cost
}

// First predicts the time to the first event of a job at a backend server.
func (b *Board) First(svc *fleet.Service, s *fleet.Server, j *Job) time.Duration {
	a, m := b.account(s), b.model(svc.Name)
	if !svc.Engine {
		return milliseconds(a.latency.or(m.service.or(defaultLatency)))
	}
	load := a.load()
	first := m.first.at(b.speed(a, m) * float64(load.Prompt+j.Prompt))
	if n := load.Requests - max(1, s.Slots) + 1; n > 0 {
		first += b.speed(a, m) * m.service.or(defaultService) * float64(n) / float64(max(1, s.Slots))
	}
	return milliseconds(first)
}

// Usual predicts the time to the first event of a job at an idle backend server of average pace.
func (b *Board) Usual(svc *fleet.Service, j *Job) time.Duration {
	m := b.model(svc.Name)
	if !svc.Engine {
		return milliseconds(m.service.or(defaultLatency))
	}
	return milliseconds(m.first.at(float64(j.Prompt)))
}

// output predicts the tokens that a job writes. What its caller allows at most is far above what most need, so the mean
// of its route counts, and what the caller expects where it says so.
func (b *Board) output(j *Job) float64 {
	if j.Hint > 0 {
		return float64(min(j.Hint, max(j.Output, 1)))
	}
	out := b.outputs[j.Route]
	return min(out.or(defaultOutput), float64(max(j.Output, 1)))
}

// speed returns how much slower than the average a backend server is.
func (b *Board) speed(a *account, m *engineModel) float64 {
	if a.pace.n == 0 || m.pace.n == 0 || m.pace.value <= 0 {
		return 1
	}
	return a.pace.value / m.pace.value
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
