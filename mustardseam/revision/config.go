package revision

import "github.com/mustardseam/mustardseam/operator"

// Config is a configuration document with the indexes used to handle requests. It is immutable.
type Config struct {
	Revision uint64
	Digest   string
	Packed   []byte // The document as packed by EncodeDocument, for peers that are behind.
	Document operator.Document

	teams  map[string]operator.Team
	routes map[string]operator.Route
	pools  map[string]operator.Pool
	tiers  map[string]operator.Tier
}

// NewConfig returns the configuration of a document and builds its indexes.
func NewConfig(revision uint64, digest string, packed []byte, d operator.Document) *Config {
	c := &Config{
		Revision: revision, Digest: digest, Packed: packed, Document: d,
		teams: map[string]operator.Team{}, routes: map[string]operator.Route{},
		pools: map[string]operator.Pool{}, tiers: map[string]operator.Tier{},
	}
	for _, t := range d.Teams {
		for _, h := range t.KeyHashes {
			c.teams[h] = t
		}
	}
	for _, r := range d.Routes {
		c.routes[r.Name] = r
	}
	for _, p := range d.Pools {
		c.pools[p.Name] = p
	}
	for _, t := range d.Tiers {
		c.tiers[t.Name] = t
	}
	return c
}

// TeamByKey returns the team that owns the API key.
func (c *Config) TeamByKey(key string) (operator.Team, bool) {
	t, ok := c.teams[operator.KeyHash(key)]
	return t, ok
}

// Route returns the named route.
func (c *Config) Route(name string) (operator.Route, bool) {
	r, ok := c.routes[name]
	return r, ok
}

// Pool returns the named pool.
func (c *Config) Pool(name string) (operator.Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Tier returns the named tier.
func (c *Config) Tier(name string) (operator.Tier, bool) {
	t, ok := c.tiers[name]
	return t, ok
}
