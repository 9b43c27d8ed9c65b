package fleet

import "time"

// Change is a single change of a View. Exactly one of Config, Server, RemovedServer, Leaving, DataCentre, Rollout,
// Progress, Quotas, Crashes and Instance is set; the other fields qualify it.
type Change struct {
	Revision      int64
	Config        *Config
	Server        *Server
	RemovedServer string       // ID of a backend server whose entry was removed.
	Leaving       *Incarnation // Backend server that announced its own shutdown.
	MayReturn     bool         // The entry of RemovedServer may have expired because the store was unavailable.
	DataCentre    string       // Data centre that is taken out of service, or back in service when Removed is set.
	Rollout       *ServiceRollout
	Progress      *Progress
	Quotas        *QuotaSnapshot
	Crashes       []Crash
	Service       string // Service that Progress belongs to.
	Instance      *Instance
	Removed       bool      // The item of DataCentre, Rollout or Instance was deleted.
	Time          time.Time // Time on the monotonic clock when this instance learned of the change.
}
