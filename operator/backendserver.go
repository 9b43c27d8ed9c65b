package operator

// BackendServer is one replica of a model engine or of a plain service.
type BackendServer struct {
	Name          string `json:"name"                     yaml:"name"`
	Pool          string `json:"pool"                     yaml:"pool"`
	DataCentre    string `json:"data-centre"              yaml:"data-centre"`
	Address       string `json:"address"                  yaml:"address"` // IP:port.
	Hardware      string `json:"hardware,omitempty"       yaml:"hardware,omitempty"`
	Version       string `json:"version"                  yaml:"version"`
	Limit         int    `json:"limit"                    yaml:"limit"`      // Requests at a time when warm.
	ColdLimit     int    `json:"cold-limit"               yaml:"cold-limit"` // Requests at a time in cold start.
	ChecksFencing bool   `json:"checks-fencing,omitempty" yaml:"checks-fencing,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"        yaml:"leaving,omitempty"`
}

func (b BackendServer) key() string { return b.Name }

func (b BackendServer) clone() BackendServer { return b }

// WithVersion returns a copy of the backend server that runs the named version.
func (b BackendServer) WithVersion(version string) BackendServer {
	b.Version = version
	return b
}

// WithLimits returns a copy of the backend server with the given limits of requests at a time.
func (b BackendServer) WithLimits(warm, cold int) BackendServer {
	b.Limit = warm
	b.ColdLimit = cold
	return b
}

// WithLeaving returns a copy of the backend server that is drained or brought back.
func (b BackendServer) WithLeaving(leaving bool) BackendServer {
	b.Leaving = leaving
	return b
}
