package http1

import (
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the hop-by-hop header fields (RFC 9110 section 7.6.1) and the fields that this package writes itself.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true,
	"content-length": true, "host": true,
}

// EndToEndFields returns the header fields to forward: all except hop-by-hop fields and those for which exclude returns
// true. exclude is called with the field name in lower case.
func EndToEndFields(header iter.Seq2[[]byte, []byte], exclude func(name string) bool) []HeaderField {
	var fields []HeaderField
	connectionFields := map[string]bool{}
	for name := range connectionOptions(header) {
		connectionFields[strings.ToLower(name)] = true
	}
	for k, v := range header {
		name := strings.ToLower(string(k))
		if hopByHop[name] || connectionFields[name] || exclude(name) {
			continue
		}
		fields = append(fields, HeaderField{Name: string(k), Value: string(v)})
	}
	return fields
}

// IsConnectionOption reports whether a header has an option of Connection with the given name. A field of that name is not forwarded
// (RFC 9110 section 7.6.1).
func IsConnectionOption(header iter.Seq2[[]byte, []byte], name string) bool {
	for option := range connectionOptions(header) {
		if strings.EqualFold(option, name) {
			return true
		}
	}
	return false
}

// connectionOptions returns the options of all Connection fields.
func connectionOptions(header iter.Seq2[[]byte, []byte]) iter.Seq[string] {
	return func(yield func(string) bool) {
		for k, v := range header {
			if !strings.EqualFold(string(k), fasthttp.HeaderConnection) {
				continue
			}
			for option := range strings.SplitSeq(string(v), ",") {
				if !yield(strings.TrimSpace(option)) {
					return
				}
			}
		}
	}
}
