package entry

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// placedPrompt returns the parts of the prompt of a request if its placement depends on them, otherwise nil.
func (i *Instance) placedPrompt(req *request) promptcache.Prompt {
	if i.cfg.IgnorePrompts {
		return nil
	}
	if svc := req.view.Config.Service(req.service); svc == nil || !svc.Engine || svc.KVCapacity <= 0 {
		return nil
	}
	return req.meta.Prompt
}

// keptParts returns the number of prompt parts that engines are expected to keep.
func (s *Scheduler) keptParts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.KeptParts()
}

// promptMetrics counts the placements that depend on the parts of prompts.
type promptMetrics struct {
	requests *metrics.Counter // Placements.
	onPrefix *metrics.Counter // Placements on an engine that was expected to keep the beginning of the prompt.
	tokens   *metrics.Counter // Prompt tokens of all placements.
	// keptByHub and keptLocally count the prompt tokens that the chosen engines were expected to keep.
	keptByHub   *metrics.Counter
	keptLocally *metrics.Counter
}

func newPromptMetrics(set *metrics.Set, s *Scheduler) *promptMetrics {
	set.NewGauge("mustardseam_prompt_parts_kept", func() float64 { return float64(s.keptParts()) })
	return &promptMetrics{
		requests:    set.NewCounter("mustardseam_prompt_placed_total"),
		onPrefix:    set.NewCounter("mustardseam_prompt_placed_on_prefix_total"),
		tokens:      set.NewCounter("mustardseam_prompt_tokens_total"),
		keptByHub:   set.NewCounter(`mustardseam_prompt_tokens_kept_total{by="hub"}`),
		keptLocally: set.NewCounter(`mustardseam_prompt_tokens_kept_total{by="itself"}`),
	}
}

// requestPlaced counts a placement.
func (m *promptMetrics) requestPlaced(g *Grant) {
	if len(g.job.Prompt) == 0 {
		return
	}
	m.requests.Inc()
	m.tokens.Add(g.job.PromptTokens)
	switch {
	case g.job.Kept == 0:
		return
	case g.Hub != "":
		m.keptByHub.Add(g.job.Kept)
	default:
		m.keptLocally.Add(g.job.Kept)
	}
	m.onPrefix.Inc()
}
