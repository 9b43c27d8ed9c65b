package cluster

// Executions returns the number of executions of each request by the backend servers. The key of a completion is "tag "
// and the tag of its prompt, that of an order "order " and its idempotency key.
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
