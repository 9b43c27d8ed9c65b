package operator

// PoolKind is the kind of backend servers in a pool.
type PoolKind string

// Kinds of pools.
const (
	Engines  PoolKind = "engines"
	Services PoolKind = "services"
)

// Pool is a set of backend servers that serve the same routes and share one queue in each region.
type Pool struct {
	Name       string   `json:"name"        yaml:"name"`
	Kind       PoolKind `json:"kind"        yaml:"kind"`
	MaxWaiting int      `json:"max-waiting" yaml:"max-waiting"` // Maximum number of requests in the queue.
}

func (p Pool) key() string { return p.Name }

func (p Pool) clone() Pool { return p }

// WithMaxWaiting returns a copy of the pool whose queue holds at most n requests.
func (p Pool) WithMaxWaiting(n int) Pool {
	p.MaxWaiting = n
	return p
}
