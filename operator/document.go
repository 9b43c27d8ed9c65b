package operator

import "slices"

// Format is the only value that the format member of a document may have.
const Format = "mustardseam/1"

// Document is the whole configuration that operators set; it is an immutable value.
type Document struct {
	Format         string          `json:"format"          yaml:"format"`
	Tiers          []Tier          `json:"tiers"           yaml:"tiers"`
	Teams          []Team          `json:"teams"           yaml:"teams"`
	DataCentres    []DataCentre    `json:"data-centres"    yaml:"data-centres"`
	Pools          []Pool          `json:"pools"           yaml:"pools"`
	BackendServers []BackendServer `json:"backend-servers" yaml:"backend-servers"`
	Routes         []Route         `json:"routes"          yaml:"routes"`
}

// New returns an empty document of the current format.
func New() Document {
	return Document{Format: Format}
}

// WithTier returns a copy of the document in which tier is added or replaced by name.
func (d Document) WithTier(tier Tier) Document {
	d.Tiers = put(d.Tiers, tier, Tier.key)
	return d
}

// WithTeam returns a copy of the document in which team is added or replaced by name.
func (d Document) WithTeam(team Team) Document {
	d.Teams = put(d.Teams, team, Team.key)
	return d
}

// WithDataCentre returns a copy of the document in which dc is added or replaced by name.
func (d Document) WithDataCentre(dc DataCentre) Document {
	d.DataCentres = put(d.DataCentres, dc, DataCentre.key)
	return d
}

// WithPool returns a copy of the document in which pool is added or replaced by name.
func (d Document) WithPool(pool Pool) Document {
	d.Pools = put(d.Pools, pool, Pool.key)
	return d
}

// WithBackendServer returns a copy of the document in which server is added or replaced by name.
func (d Document) WithBackendServer(server BackendServer) Document {
	d.BackendServers = put(d.BackendServers, server, BackendServer.key)
	return d
}

// WithRoute returns a copy of the document in which route is added or replaced by name.
func (d Document) WithRoute(route Route) Document {
	d.Routes = put(d.Routes, route, Route.key)
	return d
}

// put returns a copy of list in which v replaces the entry of the same key or is appended.
func put[T any](list []T, v T, key func(T) string) []T {
	list = slices.Clone(list)
	at := slices.IndexFunc(list, func(old T) bool { return key(old) == key(v) })
	if at < 0 {
		return append(list, v)
	}
	list[at] = v
	return list
}
