package cluster

// Executions returns how often each piece of work ran at a backend server: a completion by "tag " and the tag of its
// prompt, an order by "order " and its key.
func (c *Cluster) Executions() map[string]int {
	runs := map[string]int{}
	for _, e := range c.Engines {
		for tag, n := range e.Stats().PerTag {
			runs["tag "+tag] += n
		}
	}
	for _, s := range c.Orders {
		for key, n := range s.Runs() {
			runs["order "+key] += n
		}
	}
	return runs
}
