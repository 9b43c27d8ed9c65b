package revision

// Candidate is a configuration available from the store or a peer.
type Candidate struct {
	Revision uint64
	Digest   string
	Source   string // Address of the peer; empty for the store.
}

// NewestCandidates returns the candidates with the highest revision in the order of the list, or none if no candidate
// has a revision. A candidate whose digest differs from the first one's is left out.
func NewestCandidates(list []Candidate) []Candidate {
	var newest []Candidate
	for _, c := range list {
		switch {
		case c.Revision == 0:
		case len(newest) == 0 || c.Revision > newest[0].Revision:
			newest = []Candidate{c}
		case c.Revision == newest[0].Revision && c.Digest == newest[0].Digest:
			newest = append(newest, c)
		}
	}
	return newest
}
