package member

// Member is the information about an instance in a heartbeat. An entry without ID only reports progress, and is
// ignored unless its incarnation is already known.
type Member struct {
	ID          string `json:"id,omitempty"`
	Incarnation string `json:"incarnation"` // Identifies one start of the process; see NewIncarnation.
	Address     string `json:"address,omitempty"`
	DataCentre  string `json:"data-centre,omitempty"`
	Counter     uint64 `json:"counter"` // Incremented by each heartbeat that the instance itself sends.
	Leaving     bool   `json:"leaving,omitempty"`
	Revision    uint64 `json:"revision,omitempty"` // Revision of the configuration in force at the instance.
}
