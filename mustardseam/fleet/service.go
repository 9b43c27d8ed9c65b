package fleet

import "time"

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name        string
	Connections int           // That one backend server takes from all instances together; 0 for no bound.
	Cold        time.Duration // How long a backend server bears little load after its start.
	ColdRate    float64       // Requests per second that a cold backend server bears from all instances; 0 for no bound.
	Engine      bool          // The backend servers are model engines, which batch requests.
	Stride      int           // Tokens in an event of a stream; 0 when unknown.
}
