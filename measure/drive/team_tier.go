package drive

// TeamTier identifies the requests of one team in one tier.
type TeamTier struct {
	Team string
	Tier int
}

// WaitingTeamTiers returns the teams and tiers that have requests waiting at the pool's home.
func (sim *Simulation) WaitingTeamTiers(pool string) map[TeamTier]bool {
	out := map[TeamTier]bool{}
	for _, r := range sim.homes[pool].waiting {
		out[TeamTier{r.Team, r.Tier}] = true
	}
	return out
}
