package service

import (
	"iter"
	"strings"
)

// EndToEndHeaders returns the headers of a message that are forwarded: all but the hop-by-hop headers, which RFC 9110
// section 7.6.1 names or the Connection header lists. Repeated headers are joined with commas, as that RFC allows; of
// repeated Set-Cookie headers, which cannot be joined, the last one is kept.
func EndToEndHeaders(all iter.Seq2[[]byte, []byte]) map[string]string {
	listed := connectionHeaders(all)
	out := map[string]string{}
	for k, v := range all {
		name, value := string(k), string(v)
		if isHopByHop(strings.ToLower(name)) || listed[strings.ToLower(name)] {
			continue
		}
		if old, ok := out[name]; ok && name != "Set-Cookie" {
			value = old + ", " + value
		}
		out[name] = value
	}
	return out
}

// connectionHeaders returns the names of the headers, in lower case, that the Connection header lists as hop-by-hop.
func connectionHeaders(all iter.Seq2[[]byte, []byte]) map[string]bool {
	listed := map[string]bool{}
	for k, v := range all {
		if !strings.EqualFold(string(k), "Connection") {
			continue
		}
		for option := range strings.SplitSeq(string(v), ",") {
			listed[strings.ToLower(strings.TrimSpace(option))] = true
		}
	}
	return listed
}

func isHopByHop(name string) bool {
	switch name {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length":
		return true
	}
	return false
}
