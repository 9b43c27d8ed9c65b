package member

// Entry is an instance in the platform's list, which may lag behind.
type Entry struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}
