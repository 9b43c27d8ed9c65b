package drive

// Share names the requests of one team in one tier.
type Share struct {
	Team string
	Tier int
}

// Backlogged returns whose requests wait at the pool's home.
func (w *World) Backlogged(pool string) map[Share]bool {
	out := map[Share]bool{}
	for _, r := range w.homes[pool].waiting {
		out[Share{r.Team, r.Tier}] = true
	}
	return out
}
