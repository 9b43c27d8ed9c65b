package revision

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// HeadKey is the store key of the head.
const HeadKey = "config/head"

// DocPrefix is put before a digest to form the store key of a document.
const DocPrefix = "config/doc/"

// keptSubmits is how many submissions the head remembers, so that a lost answer can be settled by reading it. The head
// goes to every instance at each change, so it must stay small: below 32 KB with the longest names.
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

// ReadHead reads the head and the store's revision of its key; a store without a head yields zero values.
func ReadHead(ctx context.Context, store Store) (Head, int64, error) {
	kv, ok, err := store.Get(ctx, HeadKey)
	if err != nil || !ok {
		return Head{}, 0, err
	}
	h, err := ParseHead(kv.Value)
	return h, kv.ModRevision, err
}

// ParseHead decodes the value of the head's key, as a watch delivers it.
func ParseHead(value []byte) (Head, error) {
	var h Head
	return h, eris.Wrap(json.Unmarshal(value, &h), "decode head")
}

// History returns at most the last n accepted submissions, the newest first; the head remembers 64.
func (h Head) History(n int) []Submit {
	list := slices.Clone(h.Submits[max(0, len(h.Submits)-max(n, 0)):])
	slices.Reverse(list)
	return list
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

// remembers reports whether the head would still show a submission that was accepted on top of the base revision.
func (h Head) remembers(base uint64) bool {
	return h.Revision <= base || len(h.Submits) > 0 && h.Submits[0].Revision <= base+1
}

// with returns the next head after the submission.
func (h Head) with(s Submit) Head {
	list := append(slices.Clone(h.Submits), s)
	return Head{Revision: s.Revision, Digest: s.Digest, Submits: list[max(0, len(list)-keptSubmits):]}
}

// encode returns the value of the head's key. Angle brackets in names stay single characters.
func (h Head) encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(h)
	return b.Bytes(), eris.Wrap(err, "encode head")
}
