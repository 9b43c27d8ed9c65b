package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/quarantine"
)

// State is the state of an instance as shown to operators.
type State struct {
	Instance    string                 `json:"instance"`
	Version     int64                  `json:"configuration-version"`
	Revision    int64                  `json:"store-revision"`
	Era         int64                  `json:"store-era"`
	Held        int                    `json:"store-items-held"` // Items that a restored store lacks or has in an older state.
	AgeMS       int64                  `json:"store-age-ms"`
	Hub         string                 `json:"hub"`
	Instances   []string               `json:"instances"`
	ClientCount int                    `json:"instances-placed-for"`
	Active      int64                  `json:"requests-active"`
	Waiting     int                    `json:"requests-waiting"`
	Servers     []placement.Inspection `json:"backend-servers"`
	Stopping    bool                   `json:"stopping"`
	// Limits holds the request limits that backend servers named, in requests per second by ID.
	Limits map[string]float64 `json:"limits,omitempty"`
	// Quarantine holds the prompt parts on which backend servers crash.
	Quarantine []quarantine.Pattern `json:"quarantine,omitempty"`
	// Autoscale holds the decisions on the numbers of backend servers by service.
	Autoscale map[string]ScaleState `json:"autoscale,omitempty"`
	// OutOfService holds the data centres that are out of service.
	OutOfService []string `json:"out-of-service,omitempty"`
	// Duties shows who performs the duties; nil if there are none.
	Duties *DutiesState `json:"duties,omitempty"`
}

// State returns the state of the instance as a State.
func (i *Instance) State() any {
	v := i.view.Load()
	at := i.follower.Position()
	d := State{
		Instance: i.cfg.Name, Revision: at.Revision, Era: at.Era, Held: i.follower.Held(), AgeMS: i.storeAge(), Active: i.active.Load(),
		Waiting: i.scheduler.Waiting(), Stopping: i.stopping.Load() != nil,
	}
	if v.Config != nil {
		d.Version = v.Config.Version
	}
	i.reporter.mu.Lock()
	d.Hub = i.reporter.hubName
	i.reporter.mu.Unlock()
	d.Autoscale = i.autoscaler.state()
	d.OutOfService = slices.Sorted(maps.Keys(v.OutOfService))
	d.Duties = i.duties.state()
	d.Quarantine = i.quarantine.Patterns(time.Now())
	i.scheduler.mu.Lock()
	defer i.scheduler.mu.Unlock()
	d.Instances, d.ClientCount = i.scheduler.instances, len(i.scheduler.placementServer.clients)
	d.Limits = i.scheduler.serverLimits.Rates()
	for _, s := range v.Servers {
		d.Servers = append(d.Servers, i.scheduler.board.Inspect(time.Now(), s))
	}
	return d
}
