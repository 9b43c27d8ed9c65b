package placement

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

const (
	// streamSlowdown is the part by which one more stream lengthens the inter-token latency of an engine. An engine that
	// takes 14 ms for a step and 0.6 ms more for each stream has 0.043.
	streamSlowdown = 0.04
	// maxHolders is the number of engines that are considered, besides a sample, because they keep the prompt.
	maxHolders = 8
)

// UnreadTokens returns the prompt tokens that the backend server of the job is expected to read.
func (j *Job) UnreadTokens() int { return max(0, j.PromptTokens-j.Kept) }

// ExpectKept sets the tokens of the prompt of a job that a backend server is expected to keep. It must be called before the
// job is sent there.
func (b *Board) ExpectKept(svc *fleet.Service, s *fleet.Server, j *Job) {
	j.Kept = 0
	if e := b.engine(svc, s); e != nil {
		j.Kept = min(b.prompts.KeptOf(e, j.Prompt), j.PromptTokens)
	}
}

// RecordPromptRead records that a backend server has read the prompt of a job that another instance sent there.
func (b *Board) RecordPromptRead(svc *fleet.Service, s *fleet.Server, j *Job) {
	if e := b.engine(svc, s); e != nil {
		b.prompts.Read(e, j.Prompt, 0)
	}
}

// KeptParts returns the number of prompt parts that are recorded as kept, over all engines.
func (b *Board) KeptParts() int {
	if b.prompts == nil {
		return 0
	}
	return b.prompts.Len()
}

// engine returns the record of what a backend server keeps, or nil if that is not recorded for its service.
func (b *Board) engine(svc *fleet.Service, s *fleet.Server) *promptcache.Engine {
	if b.prompts == nil || svc.KVCapacity <= 0 {
		return nil
	}
	st := b.state(s)
	if st.engine == nil {
		st.engine = b.prompts.Add(svc.KVCapacity)
		b.stateByEngine[st.engine] = st
	} else if st.engine.Capacity() != svc.KVCapacity {
		b.prompts.SetCapacity(st.engine, svc.KVCapacity)
	}
	return st.engine
}

// forgetPrompts removes the record of what a backend server keeps.
func (b *Board) forgetPrompts(st *serverState) {
	if st.engine != nil {
		delete(b.stateByEngine, st.engine)
		b.prompts.Remove(st.engine)
		st.engine = nil
	}
}

// beginPrompt counts the memory of a job that is sent to an engine.
func (b *Board) beginPrompt(st *serverState, j *Job) {
	j.held, j.released = 0, 0
	if st.engine != nil {
		j.held = j.UnreadTokens() + int(b.expectedOutput(j))
		b.prompts.Begin(st.engine, j.Prompt, j.held)
	}
}

// readPrompt records that an engine has read the prompt of a job, which is kept from then on.
func (b *Board) readPrompt(st *serverState, j *Job) {
	if st.engine == nil || len(j.Prompt) == 0 {
		return
	}
	read := min(j.held, max(0, j.Prompt.Tokens()-j.Kept)) - j.released
	j.released += read
	b.prompts.Read(st.engine, j.Prompt, read)
}

// endPrompt releases the memory of a job that has ended.
func (b *Board) endPrompt(st *serverState, j *Job, o Outcome) {
	if st.engine == nil {
		return
	}
	switch {
	case o.Unreachable:
		b.prompts.Clear(st.engine) // It probably restarts; its store entry may not give the time of its start.
	case o.OK && !o.FirstEvent:
		b.readPrompt(st, j)
	}
	b.prompts.End(st.engine, j.held, j.released)
	j.held, j.released = 0, 0
}

// matchPrompt looks up what engines keep of the prompt of a job. visitHolders is set if most engines are candidates; see
// promptcache.Index.Match.
func (b *Board) matchPrompt(j *Job, visitHolders bool) *promptcache.Match {
	if b.prompts == nil || len(j.Prompt) == 0 {
		return nil
	}
	return b.prompts.Match(j.Prompt, visitHolders)
}

// promptGain returns the milliseconds that a job saves at an engine because it keeps a part of its prompt, less what the job
// loses to the streams that run there and to a wait for memory. Without the loss to running streams, requests with a part in
// common would fill the engines that keep it one after the other, since the cost depends on the running requests only once
// all slots are in use.
func (b *Board) promptGain(st *serverState, est *jobEstimate, load Load, slowdown, interTokenMS float64) float64 {
	if b.prompts == nil || len(est.job.Prompt) == 0 || est.service.KVCapacity <= 0 {
		return 0
	}
	kept := min(est.kept, est.job.PromptTokens)
	gain := slowdown*float64(kept)*est.promptTokenMS - streamSlowdown*float64(load.Requests)*interTokenMS*est.outputTokens
	if st.engine == nil {
		return gain
	}
	// What lacks is released over the time in which the running requests end.
	if lacking := est.job.PromptTokens + int(est.outputTokens) - st.engine.Free(); lacking > 0 {
		held := max(lacking, st.engine.Held())
		gain -= slowdown * est.model.serviceTime.valueOr(defaultServiceTimeMS) * float64(lacking) / float64(held)
	}
	return gain
}

// withHolders returns the two cheapest of two choices and the engines that keep most of the prompt, which a sample of a long
// list seldom contains.
func (b *Board) withHolders(
	now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, opts selectionOptions, best, second choice,
) (choice, choice) {
	if b.prompts == nil || len(j.Prompt) == 0 {
		return best, second
	}
	var holders [maxHolders]*fleet.Server
	n, seen := 0, 0
	b.prompts.Holders(j.Prompt, func(e *promptcache.Engine) bool {
		seen++
		// An engine that is not at its former position is left out: finding it would take a search of the list.
		if st := b.stateByEngine[e]; st != nil && st.listIndex < len(servers) && b.state(servers[st.listIndex]) == st {
			holders[n] = servers[st.listIndex]
			n++
		}
		return n < maxHolders && seen < 2*maxHolders
	})
	if n == 0 {
		return best, second
	}
	first, next := b.cheapest(now, svc, holders[:n], j, opts, 0, 1)
	for _, c := range []choice{first, next} {
		if c.server == nil || c.server == best.server || c.server == second.server {
			continue
		}
		c.index = b.state(c.server).listIndex
		switch {
		case best.server == nil || c.cost < best.cost:
			best, second = c, best
		case second.server == nil || c.cost < second.cost:
			second = c
		}
	}
	return best, second
}
