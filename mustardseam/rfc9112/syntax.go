package rfc9112

import "bytes"

// isTokenByte reports for each byte whether it may occur in a token (RFC 9110 section 5.6.2).
var isTokenByte = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[c] = true
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether all bytes may occur in a field value or a reason phrase: visible characters, blanks, tabs and bytes
// above the range of ASCII.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// trimBlanks removes optional whitespace (RFC 9110 section 5.6.3) at both ends.
func trimBlanks(b []byte) []byte { return bytes.Trim(b, " \t") }

// splitField divides a line without its end into the name and the value of a field. It returns false if the line is none.
func splitField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	value = trimBlanks(value)
	return name, value, ok && isToken(name) && isText(value)
}
