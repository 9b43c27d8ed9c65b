package member

// ListEntry is an instance in the platform's list, which may lag behind.
type ListEntry struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}
