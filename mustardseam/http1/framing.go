package http1

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// errAmbiguousLength is returned for a request whose body length can be interpreted in more than one way. Another HTTP
// implementation could then find a different request in the body.
var errAmbiguousLength = errors.New("ambiguous request body length")

// checkFraming rejects a header that specifies the body length twice or uses an unknown transfer coding (RFC 9112
// section 6).
func checkFraming(h *fasthttp.RequestHeader) error {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte("\n")) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return errAmbiguousLength
			}
		case len(name) > 0 && (name[len(name)-1] == ' ' || name[len(name)-1] == '\t'):
			return errAmbiguousLength
		}
	}
	if lengths+codings > 1 {
		return errAmbiguousLength
	}
	return nil
}
