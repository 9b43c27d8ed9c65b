package http1

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// errFraming says that a request names its length in more than one way, so that another reader could see another
// request in its body.
var errFraming = errors.New("ambiguous length of the request")

// checkFraming refuses a header that names the length of the body twice or with an unknown coding (RFC 9112 section 6).
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
				return errFraming
			}
		case len(name) > 0 && (name[len(name)-1] == ' ' || name[len(name)-1] == '\t'):
			return errFraming
		}
	}
	if lengths+codings > 1 {
		return errFraming
	}
	return nil
}
