package claim

import (
	"encoding/base64"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// slotContent is the stored content of a slot. Rows are arrays and names are indices to save space, because a slot
// holds thousands of claims.
type slotContent struct {
	Epoch   uint64    `json:"epoch"`            // Epoch of the home record.
	Writer  string    `json:"writer"`           // Incarnation of the home.
	ID      uint64    `json:"id"`               // ID of the write, unique per writer.
	Through int64     `json:"complete-through"` // Unix milliseconds up to which every claim is in the journal.
	Next    int64     `json:"next,omitempty"`   // Number of the successor of a closed slot.
	Gaps    []gap     `json:"gaps,omitempty"`
	Names   []string  `json:"names"`  // Incarnations and addresses to which the rows refer.
	Rows    [][]byte  `json:"-"`      // Encoded claims, for writing.
	Entries []slotRow `json:"claims"` // Decoded claims, for reading.
}

// gap is a span of key times in Unix seconds for which claims may have been lost together with the memory of a home.
type gap struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// slotRow is the array [key, ask, owner's index in names, state, status, holder's index in names]. Trailing members
// may be omitted.
type slotRow struct {
	Key    string
	Ask    string
	Owner  int
	State  state
	Status int
	Holder int
}

// UnmarshalJSON decodes the array.
func (r *slotRow) UnmarshalJSON(b []byte) error {
	members := []any{&r.Key, &r.Ask, &r.Owner, &r.State, &r.Status, &r.Holder}
	return json.Unmarshal(b, &members)
}

// decodeSlot decodes the content of a slot and the entries in it.
func decodeSlot(b []byte) (slotContent, []*entry, error) {
	var v slotContent
	if err := json.Unmarshal(b, &v); err != nil {
		return v, nil, eris.Wrap(err, "decode journal slot")
	}
	entries := make([]*entry, 0, len(v.Entries))
	for _, r := range v.Entries {
		e, err := v.entryOf(r)
		if err != nil {
			return v, nil, err
		}
		entries = append(entries, e)
	}
	return v, entries, nil
}

// entryOf returns the entry for a row.
func (v *slotContent) entryOf(r slotRow) (*entry, error) {
	key, err := base64.RawURLEncoding.DecodeString(r.Key)
	if err != nil || len(key) != len(digest{}) {
		return nil, eris.Errorf("decode journal slot: key %q is not a digest", r.Key)
	}
	if r.Owner < 0 || r.Owner >= len(v.Names) || r.Holder < 0 || r.Holder >= len(v.Names) {
		return nil, eris.Errorf("decode journal slot: claim of ask %q names an unknown instance", r.Ask)
	}
	e := &entry{key: digest(key), ask: r.Ask, owner: v.Names[r.Owner], state: r.State, status: r.Status, fromStore: true, grantable: true}
	if r.State == done {
		e.holder = v.Names[r.Holder]
	}
	return e, nil
}

// encode encodes the content. Its rows are already encoded.
func (v *slotContent) encode() []byte {
	header, err := json.Marshal(v)
	if err != nil { // Cannot happen: strings and numbers only.
		panic(err)
	}
	b := header[:len(header)-len("null}")]
	b = append(b, '[')
	for i, row := range v.Rows {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, row...)
	}
	return append(b, "]}"...)
}
