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

// DocumentPrefix followed by a digest is the store key of a document.
const DocumentPrefix = "config/doc/"

// maxHeadSubmissions is the number of submissions that the head records, so that the outcome of a submission with a
// lost answer can be read from it. The head is sent to every instance at each change, so it must stay small: below 32
// KB with the longest names.
const maxHeadSubmissions = 64

// Head identifies the accepted document. Its key is the only mutable key of the configuration.
type Head struct {
	Revision    uint64               `json:"revision"` // Number of the accepted document; each accepted submission increments it.
	Digest      string               `json:"digest"`
	Submissions []AcceptedSubmission `json:"submits"` // Last accepted submissions, the newest last.
}

// AcceptedSubmission is the head's record of an accepted submission.
type AcceptedSubmission struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
}

// ReadHead reads the head and the store's revision of its key. It returns zero values if the store has no head.
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

// History returns the last n accepted submissions, the newest first; the head records at most 64.
func (h Head) History(n int) []AcceptedSubmission {
	list := slices.Clone(h.Submissions[max(0, len(h.Submissions)-max(n, 0)):])
	slices.Reverse(list)
	return list
}

// findSubmission returns the record of the submission with the id.
func (h Head) findSubmission(id string) (AcceptedSubmission, bool) {
	for _, s := range h.Submissions {
		if s.ID == id {
			return s, true
		}
	}
	return AcceptedSubmission{}, false
}

// covers reports whether the head still records the submission that was accepted on top of the base revision, if any.
func (h Head) covers(base uint64) bool {
	return h.Revision <= base || len(h.Submissions) > 0 && h.Submissions[0].Revision <= base+1
}

// withSubmission returns the head after the submission is accepted.
func (h Head) withSubmission(s AcceptedSubmission) Head {
	list := append(slices.Clone(h.Submissions), s)
	return Head{Revision: s.Revision, Digest: s.Digest, Submissions: list[max(0, len(list)-maxHeadSubmissions):]}
}

// encode returns the value of the head's key. It does not escape angle brackets, which would lengthen names.
func (h Head) encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(h)
	return b.Bytes(), eris.Wrap(err, "encode head")
}
