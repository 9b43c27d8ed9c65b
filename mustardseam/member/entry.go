package member

// Entry is one line of the platform's lagging list of instances.
type Entry struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}
