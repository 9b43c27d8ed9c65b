package operator

// Format is the only valid value of a document's format member.
const Format = "mustardseam/1"

// Document is the complete configuration that operators submit; it is an immutable value.
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
	d.Tiers = putEntry(d.Tiers, tier)
	return d
}

// WithTeam returns a copy of the document in which team is added or replaced by name.
func (d Document) WithTeam(team Team) Document {
	d.Teams = putEntry(d.Teams, team)
	return d
}

// WithDataCentre returns a copy of the document in which dc is added or replaced by name.
func (d Document) WithDataCentre(dc DataCentre) Document {
	d.DataCentres = putEntry(d.DataCentres, dc)
	return d
}

// WithPool returns a copy of the document in which pool is added or replaced by name.
func (d Document) WithPool(pool Pool) Document {
	d.Pools = putEntry(d.Pools, pool)
	return d
}

// WithBackendServer returns a copy of the document in which server is added or replaced by name.
func (d Document) WithBackendServer(server BackendServer) Document {
	d.BackendServers = putEntry(d.BackendServers, server)
	return d
}

// WithRoute returns a copy of the document in which route is added or replaced by name.
func (d Document) WithRoute(route Route) Document {
	d.Routes = putEntry(d.Routes, route)
	return d
}

// WithoutTier returns a copy of the document without the named tier.
func (d Document) WithoutTier(name string) Document {
	d.Tiers = removeEntry(d.Tiers, name)
	return d
}

// WithoutTeam returns a copy of the document without the named team.
func (d Document) WithoutTeam(name string) Document {
	d.Teams = removeEntry(d.Teams, name)
	return d
}

// WithoutDataCentre returns a copy of the document without the named data centre.
func (d Document) WithoutDataCentre(name string) Document {
	d.DataCentres = removeEntry(d.DataCentres, name)
	return d
}

// WithoutPool returns a copy of the document without the named pool.
func (d Document) WithoutPool(name string) Document {
	d.Pools = removeEntry(d.Pools, name)
	return d
}

// WithoutBackendServer returns a copy of the document without the named backend server.
func (d Document) WithoutBackendServer(name string) Document {
	d.BackendServers = removeEntry(d.BackendServers, name)
	return d
}

// WithoutRoute returns a copy of the document without the named route.
func (d Document) WithoutRoute(name string) Document {
	d.Routes = removeEntry(d.Routes, name)
	return d
}
