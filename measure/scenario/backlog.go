package scenario

import "github.com/mustardseam/mustardseam/measure/drive"

// backlog counts the samples at which a team had requests of a tier waiting.
type backlog map[drive.TeamTier]int

// steadily is the share of samples from which on a team counts as backlogged.
const steadily = 0.95

func (b backlog) sample(waiting map[drive.TeamTier]bool) {
	for s := range waiting {
		b[s]++
	}
	b[drive.TeamTier{}]++
}

// teams returns the teams that were backlogged in the tier.
func (b backlog) teams(tier int) map[string]bool {
	out := map[string]bool{}
	for s, n := range b {
		if s.Team != "" && s.Tier == tier && float64(n) >= steadily*float64(b[drive.TeamTier{}]) {
			out[s.Team] = true
		}
	}
	return out
}
