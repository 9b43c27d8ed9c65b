package duty

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Record names the holder of the duties in the store.
type Record struct {
	Holder  string `json:"holder"`
	Run     int64  `json:"run"`     // Random id of the holder's run of its process.
	Attempt int64  `json:"attempt"` // Random id of the attempt that acquired the record.
	SinceMS int64  `json:"since-ms"`
}

// Encode returns the record in the format of the store.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, eris.Wrap(err, "encode record of the duty holder")
}

// DecodeRecord reads a record in the format of the store.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, eris.Wrap(err, "decode record of the duty holder")
}
