package scenario

import "github.com/mustardseam/mustardseam/measure/drive"

// backlogSamples counts the samples at which a team had requests of a tier waiting. The zero key holds the total number
// of samples.
type backlogSamples map[drive.TeamTier]int

// backloggedShare is the minimum share of samples with waiting requests for a team to count as backlogged.
const backloggedShare = 0.95

func (b backlogSamples) add(waiting map[drive.TeamTier]bool) {
	for s := range waiting {
		b[s]++
	}
	b[drive.TeamTier{}]++
}

// backloggedTeams returns the set of teams that were backlogged in the tier.
func (b backlogSamples) backloggedTeams(tier int) map[string]bool {
	out := map[string]bool{}
	for s, n := range b {
		if s.Team != "" && s.Tier == tier && float64(n) >= backloggedShare*float64(b[drive.TeamTier{}]) {
			out[s.Team] = true
		}
	}
	return out
}
