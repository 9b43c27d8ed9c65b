package engine

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// event returns a server-sent event with the text.
func event(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
}

func writeChunk(w io.Writer, data string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(data), data)
	return err
}

// TestStreamParsing guards against lost, merged or invented text, whatever form and cut of the event stream an engine
// chooses, and against an end that is taken for whole without the last event.
func TestStreamParsing(t *testing.T) {
	const end = "data: [DONE]\n\n"
	tests := []struct {
		name, stream, text string
		broken             bool
	}{
		{"plain", event("a ") + event("b ") + end, "a b ", false},
		{"CRLF", strings.ReplaceAll(event("a ")+end, "\n", "\r\n"), "a ", false},
		{"comments and fields", ": ping\n\nevent: token\nid: 4\nretry: 10\n" + event("a ") + "database: no\n\n" + end, "a ", false},
		{"no space after the colon", strings.ReplaceAll(event("a ")+end, "data: ", "data:"), "a ", false},
		{"several data lines", "data: {\"choices\":[{\"delta\":\ndata: {\"content\":\"a \"}}]}\n\n" + end, "a ", false},
		{"byte order mark", byteOrderMark + event("a ") + end, "a ", false},
		{"completion text", "data: {\"choices\":[{\"text\":\"a \"}]}\n\n" + end, "a ", false},
		{"no empty line after the last event", event("a ") + "data: [DONE]\n", "a ", false},
		{"null error", "data: {\"error\":null,\"choices\":[]}\n\n" + end, "", false},
		{"long line within the bound", event(strings.Repeat("x", 9000)) + end, strings.Repeat("x", 9000), false},
		{"no end", event("a "), "a ", true},
		{"cut off event", event("a ") + strings.TrimSuffix(event("b "), "\n"), "a ", true},
		{"cut off line", event("a ") + "data: [DONE]", "a ", true},
		{"error event", event("a ") + "event: error\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\n" + end, "a ", true},
		{"no JSON", event("a ") + "data: {\n\n" + end, "a ", true},
		{"huge line", event("a ") + event(strings.Repeat("x", 20000)) + end, "a ", true},
		{"huge event", event("a ") + strings.Repeat("data: 0123456789\n", 2000) + "\n" + end, "a ", true},
		{"line without end", strings.Repeat("x", 20000), "", true},
		{"empty", "", "", true},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in chunks of %d", tt.name, size), func(t *testing.T) {
				addr := serve(t, func(c net.Conn, r *bufio.Reader) {
					if !answer(c, r, sse) {
						return
					}
					for rest := tt.stream; rest != ""; {
						n := min(size, len(rest))
						if writeChunk(c, rest[:n]) != nil {
							return
						}
						rest = rest[n:]
					}
					_, _ = io.WriteString(c, "0\r\n\r\n")
				})
				text, err := read(t, client(t, Config{LineBytes: 16 << 10}), addr)
				assert.Equal(t, text, tt.text)
				assert.Equal(t, errors.Is(err, ErrBroken), tt.broken, "%v", err)
			})
		}
	}
}

// read returns the text of a stream and the error that ended it.
func read(t *testing.T, c *Client, addr string) (string, error) {
	t.Helper()
	s, err := c.Start(Call{ID: "a", Address: addr, Path: "/", Deadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
	defer s.Close()
	var text strings.Builder
	for {
		ev, err := s.Next()
		if err != nil || ev.Data == nil {
			return text.String(), err
		}
		assert.Assert(t, !strings.ContainsAny(string(ev.Data), "\r\n"), "event %q would break the caller's stream", ev.Data)
		text.WriteString(ev.Content)
	}
}

// TestHungStream guards against a reader that waits for ever when the engine falls silent, and against one that a close
// of the client does not wake.
func TestHungStream(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration
		do   func(*Client)
	}{
		{"silent", 50 * time.Millisecond, func(*Client) {}},
		{"client closed", time.Minute, func(c *Client) { c.Close() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if answer(c, r, sse) && writeChunk(c, event("a ")) == nil {
					_, _ = io.Copy(io.Discard, r)
				}
			})
			c := client(t, Config{Idle: tt.idle})
			s, err := c.Start(Call{ID: "a", Address: addr, Path: "/", Deadline: time.Now().Add(time.Minute)})
			assert.NilError(t, err)
			defer s.Close()
			_, err = s.Next()
			assert.NilError(t, err)
			tt.do(c)
			_, err = s.Next()
			assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
		})
	}
}

// BenchmarkEvent measures the reading of one server-sent event.
func BenchmarkEvent(b *testing.B) {
	line := event("token ")
	s := &Stream{peer: "bench", lines: newLines(&repeat{data: []byte(line)}, defaultLine)}
	b.SetBytes(int64(len(line)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeat yields its data over and over.
type repeat struct {
	data []byte
	at   int
}

// Read fills b.
func (r *repeat) Read(b []byte) (int, error) {
	n := copy(b, r.data[r.at:])
	r.at = (r.at + n) % len(r.data)
	return n, nil
}
