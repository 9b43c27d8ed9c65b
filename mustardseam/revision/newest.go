package revision

// Candidate is a configuration that the store or a peer offers.
type Candidate struct {
	Revision uint64
	Digest   string
	Source   string // Address of the peer; empty for the store.
}

// Newest returns the candidates of the highest revision in their order, none when no candidate has one. All of them have
// the digest of the first; a source that offers another digest for that revision is left out.
func Newest(list []Candidate) []Candidate {
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
