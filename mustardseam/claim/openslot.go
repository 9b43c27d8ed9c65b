package claim

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
)

// openSlot is the slot that takes new rows.
type openSlot struct {
	number      int64          // Unix seconds of its opening; 0 for the root slot.
	modRevision int64          // Mod revision in the store; 0 until the slot exists.
	rows        [][]byte       // Encoded rows.
	nameIndex   map[string]int // Index in names of each incarnation or address.
	names       []string       // Incarnations and addresses used by the rows.
	sizeBound   int            // Upper bound of the encoded size in bytes, including the outcomes of all rows.
}

const (
	maxHeaderBytes    = 1 << 10 // Bound of the members without rows, names and gaps.
	maxOutcomeBytes   = 16      // Bound of the bytes that state, status and holder add to a row.
	nameOverheadBytes = 3       // Quotes and comma of a name.
	maxEscapeBytes    = 6       // Most bytes of JSON for one byte of text.
)

func newOpen(number, mod int64) *openSlot {
	return &openSlot{number: number, modRevision: mod, nameIndex: map[string]int{}, sizeBound: maxHeaderBytes}
}

// place adds the row of an entry, or replaces it if the slot has one. It returns false if the slot is full.
func (o *openSlot) place(e *entry, limit int) bool {
	if e.rowIndex >= 0 {
		o.rows[e.rowIndex] = o.encodeRow(e)
		return true
	}
	added := maxEscapeBytes*len(e.ask) + len(e.owner) + len(e.holder) + maxOutcomeBytes + 48
	if o.sizeBound+added > limit {
		return false
	}
	row := o.encodeRow(e)
	e.rowIndex = len(o.rows)
	e.lastSlot = o.number
	o.rows = append(o.rows, row)
	o.sizeBound += len(row) + maxOutcomeBytes
	return true
}

// encodeRow returns the row of an entry; see slotRow.
func (o *openSlot) encodeRow(e *entry) []byte {
	b := []byte(`["`)
	b = base64.RawURLEncoding.AppendEncode(b, e.key[:])
	ask, err := json.Marshal(e.ask)
	if err != nil { // Cannot happen: a string.
		panic(err)
	}
	b = append(b, `",`...)
	b = append(b, ask...)
	for _, n := range o.rowNumbers(e) {
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return append(b, ']')
}

// rowNumbers returns the numeric members of an entry's row, without the trailing ones that are omitted.
func (o *openSlot) rowNumbers(e *entry) []int {
	from := o.indexOf(e.owner)
	switch {
	case e.isOpen():
		return []int{from}
	case e.state == done:
		return []int{from, int(e.state), e.status, o.indexOf(e.holder)}
	default:
		return []int{from, int(e.state)}
	}
}

// indexOf returns the index of a name, which it adds if it is missing.
func (o *openSlot) indexOf(s string) int {
	i, ok := o.nameIndex[s]
	if !ok {
		i = len(o.names)
		o.nameIndex[s] = i
		o.names = append(o.names, s)
		o.sizeBound += len(s) + nameOverheadBytes
	}
	return i
}
