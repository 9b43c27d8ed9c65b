package rfc9112

import "bytes"

// statusLine is a parsed status line.
type statusLine struct {
	minor  byte // Minor version of HTTP as a digit.
	status int  // From 100 to 599.
}

const versionPrefix = "HTTP/1."

// parseStatusLine parses a line without its end. A line that ends after the status code is accepted too, since recipients may
// divide it at white space (RFC 9112 section 4) and nothing else can be meant by it.
func parseStatusLine(line []byte) (statusLine, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	const codeEnd = len("1 200")
	if !ok || len(rest) < codeEnd || rest[1] != ' ' || !isDigits(rest[:1]) || !isDigits(rest[2:codeEnd]) {
		return statusLine{}, false
	}
	if reason := rest[codeEnd:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return statusLine{}, false
	}
	s := statusLine{minor: rest[0], status: int(rest[2]-'0')*100 + int(rest[3]-'0')*10 + int(rest[4]-'0')}
	return s, s.status >= 100 && s.status <= 599
}

// innerStatusLine returns the offset of the last status line that ends a line, other than the line itself; 0 if there is none.
func innerStatusLine(line []byte) int {
	for end := len(line); ; {
		i := bytes.LastIndex(line[:end], []byte(versionPrefix))
		if i <= 0 {
			return 0
		}
		if _, ok := parseStatusLine(line[i:]); ok {
			return i
		}
		end = i + len(versionPrefix) - 1
	}
}
