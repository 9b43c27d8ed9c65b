package member

// Member is what heartbeats say of an instance. An entry of a heartbeat that only reports progress has no ID: such an
// entry counts only where its incarnation is known already.
type Member struct {
	ID          string `json:"id,omitempty"`
	Incarnation string `json:"incarnation"` // One per start of a process; see NewIncarnation.
	Address     string `json:"address,omitempty"`
	DataCentre  string `json:"data-centre,omitempty"`
	Counter     uint64 `json:"counter"` // Rises with each heartbeat of the instance itself.
	Leaving     bool   `json:"leaving,omitempty"`
	Revision    uint64 `json:"revision,omitempty"` // Of the configuration in force there.
}
