package pool

// Permit allows an entry instance to start one request on one backend server.
type Permit struct {
	AskID   string `json:"ask"`
	Server  string `json:"server"`
	Address string `json:"address"`
	Version string `json:"version"`
	Epoch   uint64 `json:"epoch"`
}
