package http1

import "bytes"

const (
	// requestBytes is reserved for each request beside its header and body: the request itself and its sending.
	requestBytes = 8 << 10
	// bytesPerHeaderByte is the number of copies of a header that exist at the same time.
	bytesPerHeaderByte = 4
	// bytesPerLine and bytesPerElement are reserved for each line of a header and for each element of a list in it. A field of
	// two bytes takes 56 bytes and two small allocations when parsed and about as much again when it is forwarded.
	bytesPerLine    = 256
	bytesPerElement = 64
)

// headerCost returns the memory that a request with the given header occupies, without its body.
func headerCost(header []byte) int64 {
	return int64(requestBytes + bytesPerHeaderByte*len(header) + bytesPerLine*bytes.Count(header, []byte("\n")) +
		bytesPerElement*bytes.Count(header, []byte(",")))
}

// headerEnd returns the length of the header at the beginning of b, or 0 if its end is missing. The first searched bytes are
// known not to contain it. Empty lines before the header belong to it.
func headerEnd(b []byte, searched int) int {
	from := max(len(b)-len(bytes.TrimLeft(b, "\r\n")), searched-len("\r\n\r\n"))
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}
