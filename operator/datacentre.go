package operator

// DataCentre is a failure domain within a region; one that is out of service gets no new work.
type DataCentre struct {
	Name         string `json:"name"                     yaml:"name"`
	Region       string `json:"region"                   yaml:"region"`
	OutOfService bool   `json:"out-of-service,omitempty" yaml:"out-of-service,omitempty"`
}

func (d DataCentre) key() string { return d.Name }

func (d DataCentre) clone() DataCentre { return d }

// WithOutOfService returns a copy of the data centre that is taken out of service or returned to service.
func (d DataCentre) WithOutOfService(out bool) DataCentre {
	d.OutOfService = out
	return d
}
