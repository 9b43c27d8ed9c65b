package http1

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadLines guards against an unfinished head that is waited for although it cannot become one, and against a proper one that
// is given up.
func TestHeadLines(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, head string
		want       bool
	}{
		{"nothing", "", true},
		{"unfinished status line", "HTTP/1.1 20", true},
		{"unfinished garbage", "\x16\x03\x01", true},
		{"garbage", "\x16\x03\x01\n", false},
		{"no status code", "HTTP/1.1 OK\r\n", false},
		{"no space", "HTTP/1.1\r\n", false},
		{"no reason", "HTTP/1.1 200\r\n", true},
		{"empty lines", "\r\n\n\r\n", true},
		{"empty lines before garbage", "\r\n\r\nbody\r\n", false},
		{"fields", status + "A: b\r\nC:d\r\n", true},
		{"unfinished field", status + "A: b\r\nC", true},
		{"line without a colon", status + "A: b\r\ngarbage\r\n", false},
		{"field without a name", status + ": b\r\n", false},
		{"continued field", status + "A: b\r\n c\r\n\td\r\n", true},
		{"continued status line", status + " c\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var whole headLines
			assert.Equal(t, whole.check([]byte(test.head)), test.want)
			var piecemeal headLines
			got := true
			for n := range len(test.head) + 1 {
				got = got && piecemeal.check([]byte(test.head[:n]))
			}
			assert.Equal(t, got, test.want, "byte by byte")
		})
	}
}
