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

// sseEvent returns a server-sent event with the text as content.
func sseEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
}

func writeChunk(w io.Writer, data string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(data), data)
	return err
}

// TestStreamParsing guards against lost, merged or invented text, however the engine formats the event stream and
// splits it into chunks, and against a stream without its last event that counts as complete.
func TestStreamParsing(t *testing.T) {
	const end = "data: [DONE]\n\n"
	tests := []struct {
		name, stream, text string
		broken             bool
	}{
		{"plain", sseEvent("a ") + sseEvent("b ") + end, "a b ", false},
		{"CRLF", strings.ReplaceAll(sseEvent("a ")+end, "\n", "\r\n"), "a ", false},
		{"comments and fields", ": ping\n\nevent: token\nid: 4\nretry: 10\n" + sseEvent("a ") + "database: no\n\n" + end, "a ", false},
		{"no space after the colon", strings.ReplaceAll(sseEvent("a ")+end, "data: ", "data:"), "a ", false},
		{"several data lines", "data: {\"choices\":[{\"delta\":\ndata: {\"content\":\"a \"}}]}\n\n" + end, "a ", false},
		{"byte order mark", byteOrderMark + sseEvent("a ") + end, "a ", false},
		{"completion text", "data: {\"choices\":[{\"text\":\"a \"}]}\n\n" + end, "a ", false},
		{"no empty line after the last event", sseEvent("a ") + "data: [DONE]\n", "a ", false},
		{"null error", "data: {\"error\":null,\"choices\":[]}\n\n" + end, "", false},
		{"long line within the limit", sseEvent(strings.Repeat("x", 9000)) + end, strings.Repeat("x", 9000), false},
		{"no last event", sseEvent("a "), "a ", true},
		{"truncated event", sseEvent("a ") + strings.TrimSuffix(sseEvent("b "), "\n"), "a ", true},
		{"truncated last line", sseEvent("a ") + "data: [DONE]", "a ", true},
		{"error event", sseEvent("a ") + "event: error\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\n" + end, "a ", true},
		{"invalid JSON", sseEvent("a ") + "data: {\n\n" + end, "a ", true},
		{"huge line", sseEvent("a ") + sseEvent(strings.Repeat("x", 20000)) + end, "a ", true},
		{"huge event", sseEvent("a ") + strings.Repeat("data: 0123456789\n", 2000) + "\n" + end, "a ", true},
		{"line without end", strings.Repeat("x", 20000), "", true},
		{"empty", "", "", true},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in chunks of %d", tt.name, size), func(t *testing.T) {
				addr := serve(t, func(c net.Conn, r *bufio.Reader) {
					if !respond(c, r, sseHeader) {
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
				text, err := readStream(t, newClient(t, Config{MaxLineBytes: 16 << 10}), addr)
				assert.Equal(t, text, tt.text)
				assert.Equal(t, errors.Is(err, ErrStreamBroken), tt.broken, "%v", err)
			})
		}
	}
}

// readStream returns the text of a stream and the error that ended it, nil for a regular end.
func readStream(t *testing.T, c *Client, addr string) (string, error) {
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

// TestSilentStreamEnds guards against a reader that waits forever when the engine goes silent, and against one that
// keeps waiting after the client is closed.
func TestSilentStreamEnds(t *testing.T) {
	tests := []struct {
		name      string
		idle      time.Duration
		interrupt func(*Client)
	}{
		{"silent", 50 * time.Millisecond, func(*Client) {}},
		{"client closed", time.Minute, func(c *Client) { c.Close() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if respond(c, r, sseHeader) && writeChunk(c, sseEvent("a ")) == nil {
					_, _ = io.Copy(io.Discard, r)
				}
			})
			c := newClient(t, Config{IdleTimeout: tt.idle})
			s, err := c.Start(Call{ID: "a", Address: addr, Path: "/", Deadline: time.Now().Add(time.Minute)})
			assert.NilError(t, err)
			defer s.Close()
			_, err = s.Next()
			assert.NilError(t, err)
			tt.interrupt(c)
			_, err = s.Next()
			assert.Assert(t, errors.Is(err, ErrStreamBroken), "%v", err)
		})
	}
}

// BenchmarkEvent measures reading one server-sent event.
func BenchmarkEvent(b *testing.B) {
	line := sseEvent("token ")
	s := &Stream{address: "bench", lines: newLineReader(&repeatReader{data: []byte(line)}, defaultLineBytes)}
	b.SetBytes(int64(len(line)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatReader returns its data over and over.
type repeatReader struct {
	data   []byte
	offset int
}

// Read copies the next part of the data to b.
func (r *repeatReader) Read(b []byte) (int, error) {
	n := copy(b, r.data[r.offset:])
	r.offset = (r.offset + n) % len(r.data)
	return n, nil
}
