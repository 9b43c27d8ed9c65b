package cluster

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/engine"
)

// Site describes the data centres, backend servers, tiers and teams of one deployment.
type Site struct {
	Name        string
	Region      string
	DataCentres []string
	Model       string // Name of the model route.
	Orders      string // Name of the service route.
	Engines     int
	Services    int
	Tiers       []string // Names of the tiers, highest first.
	Teams       []Team
}

// Team is a team of a site with its quota weight and API key.
type Team struct {
	Name   string
	Weight float64
	Key    string
}

// Qasr returns the site of a glove manufacturer.
func Qasr() Site {
	return Site{
		Name: "qasr", Region: "amman", DataCentres: []string{"amman-1", "amman-2", "amman-3"},
		Model: "sizing", Orders: "leather", Engines: 12, Services: 3,
		Tiers: []string{"fitting", "report", "notes"},
		Teams: []Team{
			{"bridal", 3, "key-bridal"},
			{"surgical", 3, "key-surgical"},
			{"workshop", 2, "key-workshop"},
			{"leather", 1, "key-leather"},
			{"archive", 1, "key-archive"},
		},
	}
}

// Tokachi returns the site of a strapping co-operative.
func Tokachi() Site {
	return Site{
		Name: "tokachi", Region: "doto", DataCentres: []string{"obihiro", "kushiro", "kitami"},
		Model: "quotation", Orders: "reorder", Engines: 9, Services: 3,
		Tiers: []string{"counter", "quotation", "review"},
		Teams: []Team{
			{"timber", 3, "key-timber"},
			{"packers", 3, "key-packers"},
			{"counter", 2, "key-counter"},
			{"purchasing", 1, "key-purchasing"},
			{"contracts", 1, "key-contracts"},
		},
	}
}

// Names of the pools that every site has.
const (
	ModelPool   = "models"
	ServicePool = "orders"
)

// Version is the initial version of all backend servers and routes.
const Version = "v1"

// hardwareGeneration holds the speed of engines on one generation of hardware.
type hardwareGeneration struct {
	name     string
	stepTime time.Duration
	maxBatch int
}

func hardwareGenerations() []hardwareGeneration {
	return []hardwareGeneration{{"gen-a", 4 * time.Millisecond, 16}, {"gen-b", 6 * time.Millisecond, 12}, {"gen-c", 9 * time.Millisecond, 8}}
}

// startWindow is the longest time that a permit may be in transit (design 2.1).
const startWindow = 700 * time.Millisecond

// engineConfig returns the configuration and the hardware of engine n; n selects the hardware generation in turn.
func engineConfig(name string, n int, version string) (engine.Config, hardwareGeneration) {
	g := hardwareGenerations()[n%len(hardwareGenerations())]
	return engine.Config{
		Name: name, Version: version, MaxBatch: g.maxBatch, Step: g.stepTime, PrefillTokens: 1024, CacheBlocks: 2048,
		ColdFor: 4, ColdLimit: 2, ReportLag: 200 * time.Millisecond, EventLag: 200 * time.Millisecond,
		ChecksFencing: n%2 == 0, Notice: startWindow,
	}, g
}

// document returns the site's configuration document without backend servers and routes.
func (s Site) document() operator.Document {
	d := operator.New()
	for rank, name := range s.Tiers {
		d = d.WithTier(operator.Tier{Name: name, Rank: rank})
	}
	for _, t := range s.Teams {
		d = d.WithTeam(operator.Team{
			Name: t.Name, Weight: t.Weight, Tiers: s.Tiers, KeyHashes: []string{operator.KeyHash(t.Key)},
		})
	}
	for _, dc := range s.DataCentres {
		d = d.WithDataCentre(operator.DataCentre{Name: dc, Region: s.Region})
	}
	return d.
		WithPool(operator.Pool{Name: ModelPool, Kind: operator.Engines, MaxWaiting: 60}).
		WithPool(operator.Pool{Name: ServicePool, Kind: operator.Services, MaxWaiting: 200})
}
