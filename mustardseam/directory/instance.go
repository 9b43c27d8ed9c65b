package directory

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // IP:port on which the instance serves its peers.
	DataCentre string `json:"data-centre"`
	State      string `json:"state"` // "live" or "leaving".
}

// Leaving reports whether the platform is about to stop the instance.
func (i Instance) Leaving() bool { return i.State == "leaving" }
