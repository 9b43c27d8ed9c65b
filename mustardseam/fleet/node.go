package fleet

// Node is an instance of this system as it registered itself.
type Node struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // IP:port for other instances.
	DataCentre string  `json:"data-centre"`
	Cores      float64 `json:"cores"` // Share of a core, times its speed.
}
