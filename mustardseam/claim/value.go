package claim

import (
	"encoding/base64"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// value is the content of a slot. Rows are arrays and names are indices, because a slot holds thousands of claims.
type value struct {
	Epoch   uint64     `json:"epoch"`
	Writer  string     `json:"writer"` // Incarnation of the home.
	ID      uint64     `json:"id"`     // Of the write; unique per writer.
	Through int64      `json:"complete-through"`
	Next    int64      `json:"next,omitempty"` // Number of the slot that follows a closed one.
	Gaps    []gap      `json:"gaps,omitempty"`
	Names   []string   `json:"names"` // Incarnations and addresses.
	Rows    [][]byte   `json:"-"`
	Entries []rowValue `json:"claims"`
}

// gap is a span of key times, in unix seconds, for which claims may have been lost with the memory of a home.
type gap struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// rowValue is [key, ask, name of from, state, status, name of holder]; trailing members are left out.
type rowValue struct {
	Key    string
	Ask    string
	From   int
	State  state
	Status int
	Holder int
}

// UnmarshalJSON reads the array.
func (r *rowValue) UnmarshalJSON(b []byte) error {
	members := []any{&r.Key, &r.Ask, &r.From, &r.State, &r.Status, &r.Holder}
	return json.Unmarshal(b, &members)
}

// decode reads a slot's content into the entries that it holds.
func decode(b []byte) (value, []*entry, error) {
	var v value
	if err := json.Unmarshal(b, &v); err != nil {
		return v, nil, eris.Wrap(err, "decode journal slot")
	}
	entries := make([]*entry, 0, len(v.Entries))
	for _, r := range v.Entries {
		e, err := v.entry(r)
		if err != nil {
			return v, nil, err
		}
		entries = append(entries, e)
	}
	return v, entries, nil
}

func (v *value) entry(r rowValue) (*entry, error) {
	key, err := base64.RawURLEncoding.DecodeString(r.Key)
	if err != nil || len(key) != len(digest{}) {
		return nil, eris.Errorf("decode journal slot: key %q is not a digest", r.Key)
	}
	if r.From < 0 || r.From >= len(v.Names) || r.Holder < 0 || r.Holder >= len(v.Names) {
		return nil, eris.Errorf("decode journal slot: claim of ask %q names an unknown instance", r.Ask)
	}
	e := &entry{key: digest(key), ask: r.Ask, from: v.Names[r.From], state: r.State, status: r.Status, loaded: true, granted: true}
	if r.State == done {
		e.holder = v.Names[r.Holder]
	}
	return e, nil
}

// encode writes the value with its rows, which are encoded already.
func (v *value) encode() []byte {
	header, err := json.Marshal(v)
	if err != nil { // Strings and numbers only.
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
