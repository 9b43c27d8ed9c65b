package rfc9112

import (
	"testing"

	"gotest.tools/v3/assert"
)

const ok = "HTTP/1.1 200 OK\r\n"

// check passes a head to a checker as a whole and byte by byte, which must agree.
func check(t *testing.T, head string) (h Head, n int, err error) {
	t.Helper()
	singletons := NewSingletons(Fields{Identity: "X-Id", Singletons: []string{"X-Once"}})
	h, n, err = NewChecker(singletons).Check([]byte(head))
	piecemeal := NewChecker(singletons)
	for end := range len(head) + 1 {
		pieceHead, pieceN, pieceErr := piecemeal.Check([]byte(head[:end]))
		if pieceErr != nil || pieceN > 0 {
			assert.Equal(t, pieceHead, h, "byte by byte")
			assert.Equal(t, pieceN, n, "byte by byte")
			assert.Equal(t, pieceErr != nil, err != nil, "byte by byte")
			return h, n, err
		}
	}
	assert.Assert(t, n == 0 && err == nil, "byte by byte")
	return h, n, err
}

// TestUnfinishedHead guards against an unfinished head that is waited for although it cannot become one, and against a proper one
// that is given up.
func TestUnfinishedHead(t *testing.T) {
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
		{"empty line", "\r\n", false},
		{"empty lines before garbage", "\r\n\r\nbody\r\n", false},
		{"fields", ok + "A: b\r\nC:d\r\n", true},
		{"unfinished field", ok + "A: b\r\nC", true},
		{"line without a colon", ok + "A: b\r\ngarbage\r\n", false},
		{"field without a name", ok + ": b\r\n", false},
		{"continued field", ok + "A: b\r\n c\r\n", false},
		{"continued status line", ok + " c\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, n, err := check(t, test.head)
			assert.Equal(t, n, 0)
			assert.Equal(t, err == nil, test.want, "%v", err)
		})
	}
}

// TestSoundHead guards against a sound head that is refused or read in another way.
func TestSoundHead(t *testing.T) {
	for _, test := range soundHeads {
		t.Run(test.name, func(t *testing.T) {
			head := test.head + "\r\n"
			h, n, err := check(t, head)
			assert.NilError(t, err)
			assert.Equal(t, n, len(head))
			assert.Equal(t, h, test.want)
		})
	}
}

var soundHeads = []struct {
	name, head string
	want       Head
}{
	{"no fields", ok, Head{Status: 200}},
	{"no reason", "HTTP/1.1 204 \r\n", Head{Status: 204, Framing: NoBody}},
	{"no reason and no blank", "HTTP/1.1 404\r\n", Head{Status: 404}},
	{"long reason", "HTTP/1.1 599 \t!~\x80\xff a: b\r\n", Head{Status: 599}},
	{"version 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n", Head{Status: 200, Framing: ByLength, Length: 3}},
	{"version 1.2", "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n", Head{Status: 200, Framing: Chunked}},
	{"unknown status", "HTTP/1.1 299 Odd\r\n", Head{Status: 299}},
	{"zeros before the length", ok + "Content-Length: 0003\r\n", Head{Status: 200, Framing: ByLength, Length: 3}},
	{"longest length", ok + "Content-Length: 9223372036854775807\r\n", Head{Status: 200, Framing: ByLength, Length: 1<<63 - 1}},
	{"names in any case", ok + "cOnTeNt-lEnGtH:3\r\n", Head{Status: 200, Framing: ByLength, Length: 3}},
	{"coding in any case", ok + "transfer-encoding: \tChunked \r\n", Head{Status: 200, Framing: Chunked}},
	{"all characters of names", ok + "!#$%&'*+-.^_`|~09AZaz: b\r\n", Head{Status: 200}},
	{"all characters of values", ok + "A: !\t \"(),/:;<=>?@[\\]{}\x80\xff\r\n", Head{Status: 200}},
	{"empty value", ok + "A:\r\nB: \t \r\n", Head{Status: 200}},
	{"blanks around a value", ok + "Content-Length: \t 3 \t\r\n", Head{Status: 200, Framing: ByLength, Length: 3}},
	{"lists on several lines", ok + "Set-Cookie: a=b\r\nSet-Cookie: a=c\r\nVary: a\r\nVary: b\r\nX: 1\r\nX: 1\r\n", Head{Status: 200}},
	{"interim", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n", Head{Status: 103, Framing: NoBody}},
	{"no content with length 0", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", Head{Status: 204, Framing: NoBody}},
	{"not modified with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n", Head{Status: 304, Framing: NoBody}},
	{"status line in a value", ok + "Via: 1.1 a\r\nX-Upstream: HTTP/1.1 200 OK\r\n", Head{Status: 200}},
	{"other status line in a value", ok + "X-Id: r\r\nX-Upstream: HTTP/1.1 500 Error, retried\r\nA: b\r\n", Head{Status: 200}},
	{"same status line as a value", ok + "X-Upstream: HTTP/1.1 200 OK\r\nX-Id: r\r\n", Head{Status: 200}},
	{"same status line in a value, no name of the request", ok + "X-Upstream: retried, HTTP/1.1 200 OK\r\nA: b\r\n", Head{Status: 200}},
	{"same status line after the name of the request", ok + "X-Id: r\r\nX-Upstream: retried, HTTP/1.1 200 OK\r\nA: b\r\n", Head{Status: 200}},
	{"same status line in the reason", "HTTP/1.1 200 OHTTP/1.1 200 OK\r\nX-Id: r\r\n", Head{Status: 200}},
	{"version in a value", "HTTP/1.1 500 Error\r\nX-Upstream: HTTP/1.1 2000\r\nUpgrade: HTTP/1.1\r\n", Head{Status: 500}},
}

// TestMalformedHead guards against a head that breaks the grammar, or has more than one reading, and is believed.
func TestMalformedHead(t *testing.T) {
	tests := []struct{ name, head string }{
		{"status 000", "HTTP/1.1 000 OK\r\n"},
		{"status 099", "HTTP/1.1 099 OK\r\n"},
		{"status 600", "HTTP/1.1 600 OK\r\n"},
		{"status of two digits", "HTTP/1.1 20 OK\r\n"},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n"},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n"},
		{"two blanks", "HTTP/1.1  200 OK\r\n"},
		{"tab", "HTTP/1.1\t200 OK\r\n"},
		{"tab after the status", "HTTP/1.1 200\tOK\r\n"},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n"},
		{"delete in the reason", "HTTP/1.1 200 O\x7fK\r\n"},
		{"version 0.1", "HTTP/0.1 200 OK\r\n"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n"},
		{"version 1.10", "HTTP/1.10 200 OK\r\n"},
		{"version in lower case", "http/1.1 200 OK\r\n"},
		{"blank before the version", " HTTP/1.1 200 OK\r\n"},
		{"empty line before", "\r\n" + ok},
		{"two carriage returns", "HTTP/1.1 200 OK\r\r\n"},
		{"line feed in a value", ok + "A: b\nC: d\r\n"},
		{"line feeds alone", "HTTP/1.1 200 OK\nA: b\n\n"},
		{"line feed after the status line", "HTTP/1.1 200 OK\nA: b\r\n"},
		{"carriage return in a value", ok + "A: b\rc\r\n"},
		{"zero byte in a value", ok + "A: b\x00c\r\n"},
		{"blank in a name", ok + "A b: c\r\n"},
		{"blank after a name", ok + "A : c\r\n"},
		{"tab before a name", ok + "A: b\r\n\tC: d\r\n"},
		{"control byte in a name", ok + "A\x01: c\r\n"},
		{"slash in a name", ok + "A/b: c\r\n"},
		{"byte above ASCII in a name", ok + "A\xe9: c\r\n"},
		{"length and chunks", ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"},
		{"equal lengths", ok + "Content-Length: 3\r\ncontent-length: 3\r\n"},
		{"list of lengths", ok + "Content-Length: 3, 3\r\n"},
		{"length with a sign", ok + "Content-Length: +3\r\n"},
		{"length in hexadecimal", ok + "Content-Length: 0x3\r\n"},
		{"empty length", ok + "Content-Length:\r\n"},
		{"length beyond the range", ok + "Content-Length: 9223372036854775808\r\n"},
		{"unknown coding", ok + "Transfer-Encoding: gzip, chunked\r\n"},
		{"empty coding", ok + "Transfer-Encoding:\r\n"},
		{"coding identity", ok + "Transfer-Encoding: identity\r\n"},
		{"coding twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
		{"coding in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"},
		{"standard field twice", ok + "Retry-After: 1\r\nretry-after: 1\r\n"},
		{"own field twice", ok + "X-Once: 1\r\nA: b\r\nx-once: 1\r\n"},
		{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n"},
		{"interim with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n"},
		{"interim with chunks", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n"},
		{"no content with a body", "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n"},
		{"no content with chunks", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n"},
		{"other head in the reason", "HTTP/1.1 200 OHTTP/1.1 500 Error\r\nContent-Length: 3\r\n"},
		{"other head in a value", "HTTP/1.1 503 Unavailable\r\nA: HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"},
		{"other head with the name of the request", "HTTP/1.1 503 Unavailable\r\nA: bHTTP/1.1 200 OK\r\nX-Id: r\r\n"},
		{"request named twice", ok + "X-Id: r\r\nA: bHTTP/1.1 200 OK\r\nX-Id: r\r\n"},
		{"part of a field and the same head", ok + "A: bHTTP/1.1 200 OK\r\nX-Id: r\r\n"},
		{"part of a field and the same head without a reason", ok + "C: d\r\nA: bHTTP/1.1 200\r\nX-Id: r\r\n"},
		{"parts of two heads", ok + "A: bHTTP/1.1 200 OK\r\nC: HTTP/1.1 200 OK\r\nX-Id: r\r\n"},
		{"other head before a status line as a value", "HTTP/1.1 503 Unavailable\r\nA: HTTP/1.1 200 OK\r\nC: HTTP/1.1 503 Unavailable\r\nX-Id: r\r\n"},
		{"other framing after a value", ok + "Content-Length: 9\r\nA: HTTP/1.1 200 OK\r\nB: c\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, n, err := check(t, test.head+"\r\n")
			assert.ErrorIs(t, err, ErrMalformed)
			assert.Equal(t, n, 0)
		})
	}
}
