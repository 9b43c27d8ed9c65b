package fleet

import "time"

// Service is a group of backend servers that handle the same requests.
type Service struct {
	Name           string
	Connections    int           // Maximum number of connections to one backend server from all instances together; 0 for no bound.
	ColdDuration   time.Duration // Time after its start in which a backend server can take little load.
	ColdRate       float64       // Maximum requests per second to a cold backend server from all instances together; 0 for no bound.
	Engine         bool          // The backend servers are inference engines, which batch requests.
	TokensPerEvent int           // Number of tokens per stream event; 0 when unknown.
	KVCapacity     int           // Tokens that the memory of an engine holds for prompts and outputs; 0 when unknown.
	Autoscale      Autoscale
}
