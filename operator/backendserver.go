package operator

// BackendServer is one replica of a model engine or of a plain service.
type BackendServer struct {
	Name          string `json:"name"                     yaml:"name"`
	Pool          string `json:"pool"                     yaml:"pool"`
	DataCentre    string `json:"data-centre"              yaml:"data-centre"`
	Address       string `json:"address"                  yaml:"address"` // Address as IP:port; unique in the document.
	Hardware      string `json:"hardware,omitempty"       yaml:"hardware,omitempty"`
	Version       string `json:"version"                  yaml:"version"`
	Limit         int    `json:"limit"                    yaml:"limit"`      // Maximum number of concurrent requests when warm.
	ColdLimit     int    `json:"cold-limit"               yaml:"cold-limit"` // Maximum number of concurrent requests during cold start.
	ChecksFencing bool   `json:"checks-fencing,omitempty" yaml:"checks-fencing,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"        yaml:"leaving,omitempty"` // The backend server is drained and gets no new work.
}

func (b BackendServer) key() string { return b.Name }

func (b BackendServer) clone() BackendServer { return b }

// WithVersion returns a copy of the backend server that runs the named version.
func (b BackendServer) WithVersion(version string) BackendServer {
	b.Version = version
	return b
}

// WithLimits returns a copy of the backend server with the given limits of concurrent requests.
func (b BackendServer) WithLimits(warm, cold int) BackendServer {
	b.Limit = warm
	b.ColdLimit = cold
	return b
}

// WithLeaving returns a copy of the backend server that is drained or returned to service.
func (b BackendServer) WithLeaving(leaving bool) BackendServer {
	b.Leaving = leaving
	return b
}
