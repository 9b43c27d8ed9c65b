package revision

import "time"

// HeadKey is the store key of the head.
const HeadKey = "config/head"

// DocPrefix is put before a digest to form the store key of a document.
const DocPrefix = "config/doc/"

// keptSubmits is how many submissions the head remembers, so that a lost answer can be settled by reading it.
const keptSubmits = 64

// Head names the accepted document; it is the only mutable key of the configuration.
type Head struct {
	Revision uint64   `json:"revision"` // Rises by one with each accepted submission.
	Digest   string   `json:"digest"`
	Submits  []Submit `json:"submits"` // The newest last.
}

// Submit records one accepted submission.
type Submit struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
}

// find returns the record of a submission.
func (h Head) find(id string) (Submit, bool) {
	for _, s := range h.Submits {
		if s.ID == id {
			return s, true
		}
	}
	return Submit{}, false
}

// with returns the next head after the submission.
func (h Head) with(s Submit) Head {
	list := append(append([]Submit{}, h.Submits...), s)
	if len(list) > keptSubmits {
		list = list[len(list)-keptSubmits:]
	}
	return Head{Revision: s.Revision, Digest: s.Digest, Submits: list}
}
