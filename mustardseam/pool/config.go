package pool

import "github.com/mustardseam/mustardseam/operator"

// Config is the part of the configuration in force that the home instance of a pool needs.
type Config struct {
	Pool        operator.Pool
	Teams       []operator.Team
	Tiers       []operator.Tier
	Routes      []operator.Route         // Routes that lead to the pool.
	Servers     []operator.BackendServer // Backend servers of the pool in the region.
	DataCentres []operator.DataCentre
	Seed        uint64 // Seed of the picker's random numbers.
}

// ConfigFor returns the part of the document that concerns the named pool in the region.
func ConfigFor(d operator.Document, pool, region string, seed uint64) Config {
	cfg := Config{Teams: d.Teams, Tiers: d.Tiers, Seed: seed}
	inRegion := map[string]bool{}
	for _, dc := range d.DataCentres {
		if dc.Region == region {
			cfg.DataCentres = append(cfg.DataCentres, dc)
			inRegion[dc.Name] = true
		}
	}
	for _, p := range d.Pools {
		if p.Name == pool {
			cfg.Pool = p
		}
	}
	for _, r := range d.Routes {
		if r.Pool == pool {
			cfg.Routes = append(cfg.Routes, r)
		}
	}
	for _, b := range d.BackendServers {
		if b.Pool == pool && inRegion[b.DataCentre] {
			cfg.Servers = append(cfg.Servers, b)
		}
	}
	return cfg
}
