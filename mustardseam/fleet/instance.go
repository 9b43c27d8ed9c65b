package fleet

// Instance is the registration of a running process of this system.
type Instance struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // IP:port for calls from other instances.
	DataCentre string  `json:"data-centre"`
	Cores      float64 `json:"cores"` // Processor share in cores, multiplied by the speed of the core.
}
