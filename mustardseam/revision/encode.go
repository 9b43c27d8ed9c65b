package revision

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/operator"
)

// maxDocumentBytes is the largest size of an unpacked document in bytes. A packed document must fit the store's limit
// of one megabyte.
const maxDocumentBytes = 16 << 20

// EncodeDocument packs a document and returns it with its digest, the SHA-256 of the unpacked JSON in hexadecimal.
func EncodeDocument(d operator.Document) (packed []byte, digest string, err error) {
	plain, err := json.Marshal(d)
	if err != nil {
		return nil, "", eris.Wrap(err, "encode configuration")
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(plain); err != nil {
		return nil, "", eris.Wrap(err, "pack configuration")
	}
	if err := w.Close(); err != nil {
		return nil, "", eris.Wrap(err, "pack configuration")
	}
	sum := sha256.Sum256(plain)
	return b.Bytes(), hex.EncodeToString(sum[:]), nil
}

// DecodeDocument unpacks a document, verifies its digest and validates its content.
func DecodeDocument(packed []byte, digest string) (operator.Document, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return operator.Document{}, eris.Wrap(err, "unpack configuration")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return operator.Document{}, eris.Wrap(err, "unpack configuration")
	}
	sum := sha256.Sum256(plain)
	if hex.EncodeToString(sum[:]) != digest {
		return operator.Document{}, eris.New("unpack configuration: digest differs")
	}
	var d operator.Document
	if err := json.Unmarshal(plain, &d); err != nil {
		return operator.Document{}, eris.Wrap(err, "decode configuration")
	}
	return d, eris.Wrap(d.Validate(), "check configuration")
}
