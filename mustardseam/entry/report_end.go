package entry

import (
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

// reportEnd sends a last report at the end of a planned stop, so that the usage of this instance is known to the holder of the
// duties. The hub reports to the next candidate. Without duties, no last report is needed.
func (r *reporter) reportEnd() {
	if r.i.duties == nil {
		return
	}
	r.i.duties.ledger.Close()
	running := map[string]bool{}
	for _, name := range r.i.scheduler.runningInstances() {
		running[name] = true
	}
	r.mu.Lock()
	hubName := r.hubName
	r.mu.Unlock()
	var target fleet.Instance
	for _, candidate := range hub.RankCandidates(r.i.view.Load().Instances) {
		if candidate.Name == r.i.cfg.Name || !running[candidate.Name] {
			continue
		}
		if target.Name == "" || candidate.Name == hubName {
			target = candidate
		}
	}
	if target.Name != "" {
		r.i.recoverPanics("last report", func() { r.report(target) })
	}
}
