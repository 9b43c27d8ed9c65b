package directory

// Instance is an entry of the platform's list.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // IP:port of the protocol between instances.
	DataCentre string `json:"data-centre"`
	State      string `json:"state"` // "live" or "leaving".
}

// Leaving reports whether the platform is about to stop the instance.
func (i Instance) Leaving() bool { return i.State == "leaving" }
