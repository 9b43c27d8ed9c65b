package peer

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// hashBytes is the size of the hash of a prompt block.
const hashBytes = 8

// plainAsk is AskRequest without its methods, so that encoding does not recurse.
type plainAsk AskRequest

// wireAsk is the encoded form of AskRequest. The hashes of the prompt's blocks, by far the largest part of an ask,
// are one base64 string of little-endian numbers, which takes half of the bytes of a list of decimal numbers.
type wireAsk struct {
	plainAsk
	Ask    pool.Ask `json:"ask"`
	Blocks []byte   `json:"blocks,omitempty"`
}

// MarshalJSON encodes the block hashes in the compact form.
func (r AskRequest) MarshalJSON() ([]byte, error) {
	w := wireAsk{plainAsk: plainAsk(r), Ask: r.Ask}
	w.Ask.Prefix = nil
	w.Blocks = make([]byte, 0, hashBytes*len(r.Ask.Prefix))
	for _, h := range r.Ask.Prefix {
		w.Blocks = binary.LittleEndian.AppendUint64(w.Blocks, h)
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes the block hashes from the compact form. A list in the ask itself is accepted as well.
func (r *AskRequest) UnmarshalJSON(b []byte) error {
	var w wireAsk
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	if len(w.Blocks)%hashBytes != 0 {
		return errors.New("blocks must be 64-bit numbers")
	}
	*r = AskRequest(w.plainAsk)
	r.Ask = w.Ask
	for at := 0; at < len(w.Blocks); at += hashBytes {
		r.Ask.Prefix = append(r.Ask.Prefix, binary.LittleEndian.Uint64(w.Blocks[at:]))
	}
	return nil
}
