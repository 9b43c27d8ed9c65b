package claim

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
)

// openSlot is the slot that takes new claims.
type openSlot struct {
	number int64
	mod    int64 // 0 until it exists.
	rows   [][]byte
	names  map[string]int
	list   []string
	size   int // Bytes, with room for the outcomes of all rows.
}

const (
	headerBytes  = 1 << 10 // Bound of a slot's members without rows, names and gaps.
	outcomeBytes = 16      // Added to a row by state, status and holder.
	nameBytes    = 3       // Quotes and comma.
	escape       = 6       // Most bytes of JSON for a byte of text.
)

func newOpen(number, mod int64) *openSlot {
	return &openSlot{number: number, mod: mod, names: map[string]int{}, size: headerBytes}
}

// place appends or replaces the row of an entry; it is false when the slot is full.
func (o *openSlot) place(e *entry, limit int) bool {
	if e.row >= 0 {
		o.rows[e.row] = o.encode(e)
		return true
	}
	added := escape*len(e.ask) + len(e.from) + len(e.holder) + outcomeBytes + 48
	if o.size+added > limit {
		return false
	}
	row := o.encode(e)
	e.row = len(o.rows)
	e.slot = o.number
	o.rows = append(o.rows, row)
	o.size += len(row) + outcomeBytes
	return true
}

func (o *openSlot) encode(e *entry) []byte {
	b := []byte(`["`)
	b = base64.RawURLEncoding.AppendEncode(b, e.key[:])
	ask, err := json.Marshal(e.ask)
	if err != nil { // A string.
		panic(err)
	}
	b = append(b, `",`...)
	b = append(b, ask...)
	for _, n := range o.numbers(e) {
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return append(b, ']')
}

func (o *openSlot) numbers(e *entry) []int {
	from := o.name(e.from)
	switch {
	case e.open():
		return []int{from}
	case e.state == done:
		return []int{from, int(e.state), e.status, o.name(e.holder)}
	default:
		return []int{from, int(e.state)}
	}
}

func (o *openSlot) name(s string) int {
	i, ok := o.names[s]
	if !ok {
		i = len(o.list)
		o.names[s] = i
		o.list = append(o.list, s)
		o.size += len(s) + nameBytes
	}
	return i
}
