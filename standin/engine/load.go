package engine

// Load is a load report as GET /load publishes it.
type Load struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}
