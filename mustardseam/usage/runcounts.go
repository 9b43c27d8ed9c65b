package usage

// RunCounts is what an instance tells another about the requests that a run of an instance has counted.
type RunCounts struct {
	Instance string                     `json:"instance"`
	Run      int64                      `json:"run"`
	First    int64                      `json:"first"`   // Window in which the run started.
	Through  int64                      `json:"through"` // Window up to which the run has counted all its requests.
	Windows  map[int64]map[string]int64 `json:"windows,omitempty"`
}
