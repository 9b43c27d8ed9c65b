package http1

import (
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the fields that concern one connection (RFC 9110 section 7.6.1), and those that this package writes.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true,
	"content-length": true, "host": true,
}

// EndToEnd returns the fields of a header that are handed on, without those for which drop is true; drop gets names in
// lower case.
func EndToEnd(all iter.Seq2[[]byte, []byte], drop func(name string) bool) []Field {
	var fields []Field
	named := map[string]bool{}
	for k, v := range all {
		if strings.EqualFold(string(k), fasthttp.HeaderConnection) {
			for name := range strings.SplitSeq(string(v), ",") {
				named[strings.ToLower(strings.TrimSpace(name))] = true
			}
		}
	}
	for k, v := range all {
		name := strings.ToLower(string(k))
		if hopByHop[name] || named[name] || drop(name) {
			continue
		}
		fields = append(fields, Field{Name: string(k), Value: string(v)})
	}
	return fields
}
