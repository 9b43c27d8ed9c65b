package site

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/operator"
)

// Names of the pools and versions of both sites.
const (
	Models   = "models"
	Services = "services"
	Old      = "v1"
	New      = "v2"
)

// Entry identifies an entry instance and its data centre.
type Entry struct {
	Name       string
	DataCentre string
}

// Site is a region with its configuration, its backend servers and its entry instances.
type Site struct {
	Document operator.Document
	Engines  []engine.Config
	Entries  []Entry
	Region   string
}

// generation is a hardware generation with its speed relative to the reference and its maximum batch size.
type generation struct {
	name     string
	speed    float64
	maxBatch int
}

var generations = []generation{{"g1", 0.7, 10}, {"g2", 1, 16}, {"g3", 1.4, 24}, {"g4", 2, 32}}

// maxWaiting limits each queue to about two seconds of the larger site's capacity, so that a backlog is cleared well
// within the 10 s of design 4.1.
const maxWaiting = 150

// A plain service takes two steps per call. It has no cold start, so its two limits are the same.
const (
	serviceStep  = 20 * time.Millisecond
	serviceLimit = 8
)

// newSite returns a site with tiers, pools, data centres and 8 entry instances, and without backend servers, teams or
// routes.
func newSite(region string, centres ...string) Site {
	s := Site{Region: region, Document: operator.New()}
	for rank, name := range []string{"counter", "workshop", "batch"} {
		s.Document = s.Document.WithTier(operator.Tier{Name: name, Rank: rank})
	}
	s.Document = s.Document.
		WithPool(operator.Pool{Name: Models, Kind: operator.Engines, MaxWaiting: maxWaiting}).
		WithPool(operator.Pool{Name: Services, Kind: operator.Services, MaxWaiting: maxWaiting})
	for _, dc := range centres {
		s.Document = s.Document.WithDataCentre(operator.DataCentre{Name: dc, Region: region})
	}
	for i := range 8 {
		s.Entries = append(s.Entries, Entry{fmt.Sprintf("i%d", i+1), centres[i%len(centres)]})
	}
	return s
}

// WithModel returns the site with an additional model replica of generation g.
func (s Site) WithModel(name, centre, version string, g int) Site {
	gen := generations[g]
	cfg := engine.Reference
	cfg.Name, cfg.Version, cfg.Speed, cfg.MaxBatch = name, version, gen.speed, gen.maxBatch
	s.Document = s.Document.WithBackendServer(operator.BackendServer{
		Name: name, Pool: Models, DataCentre: centre, Address: fmt.Sprintf("127.0.0.1:%d", 9001+len(s.Engines)),
		Hardware: gen.name, Version: version, Limit: gen.maxBatch, ColdLimit: cfg.ColdLimit,
	})
	return s.withEngine(cfg)
}

// withService returns the site with an additional replica of a plain service.
func (s Site) withService(name, centre string) Site {
	cfg := engine.Config{
		Name: name, Version: Old, Speed: 1, MaxBatch: serviceLimit, Base: serviceStep, PrefillTokens: 1 << 20, ReportLag: engine.Reference.ReportLag, EventLag: engine.Reference.EventLag,
	}
	s.Document = s.Document.WithBackendServer(operator.BackendServer{
		Name: name, Pool: Services, DataCentre: centre, Address: fmt.Sprintf("127.0.0.1:%d", 9001+len(s.Engines)),
		Version: Old, Limit: serviceLimit, ColdLimit: serviceLimit,
	})
	return s.withEngine(cfg)
}

func (s Site) withEngine(cfg engine.Config) Site {
	cfg.Seed = uint64(len(s.Engines)) + 1
	s.Engines = append(s.Engines[:len(s.Engines):len(s.Engines)], cfg)
	return s
}

// withTeams returns the site with additional teams of the given weights, which may use all tiers.
func (s Site) withTeams(names []string, weights []float64) Site {
	for i, name := range names {
		s.Document = s.Document.WithTeam(operator.Team{
			Name: name, Weight: weights[i], Tiers: []string{"batch", "workshop", "counter"},
		})
	}
	return s
}

// WithEngines returns a copy of the site with f applied to each engine configuration.
func (s Site) WithEngines(f func(engine.Config) engine.Config) Site {
	list := make([]engine.Config, len(s.Engines))
	for i, cfg := range s.Engines {
		list[i] = f(cfg)
	}
	s.Engines = list
	return s
}
