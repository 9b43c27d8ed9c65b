package peer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

func testClient(key []byte) *Client {
	return NewClient(ClientConfig{Key: key, Timeout: 5 * time.Second, Now: func() time.Time { return testNow }})
}

// TestClientCallsServer guards against a call that the server does not understand, and against polls that are
// rejected as replays.
func TestClientCallsServer(t *testing.T) {
	h := &fakeHandler{}
	addr := startServer(t, h, unwrapped)
	ask := AskRequest{
		Proto: CurrentProto(), Region: "amman", Pool: "models", LeftMS: 5, HoldMS: 3, Marks: []string{"m"},
		Ask: pool.Ask{ID: "a1", Team: "bridal", Tier: 2, Prefix: []uint64{1, 1<<64 - 1}},
	}
	for _, key := range [][]byte{testKey, previousKey} {
		c := testClient(key)
		for range 2 {
			a, err := c.Ask(addr, ask)
			assert.NilError(t, err)
			assert.DeepEqual(t, h.last(), ask)
			assert.Equal(t, a.Permit.AskID, "a1")
		}
		_, err := c.Outcomes(addr, OutcomesRequest{Proto: CurrentProto()})
		assert.NilError(t, err)
		h, err := c.Heartbeat(addr, Heartbeat{Proto: CurrentProto()})
		assert.NilError(t, err)
		assert.Equal(t, h.Revision, uint64(4))
		consent, err := c.Consent(addr, ConsentRequest{Proto: CurrentProto()})
		assert.NilError(t, err)
		assert.Assert(t, consent.Given)
		doc, err := c.Document(addr, "d1")
		assert.NilError(t, err)
		assert.Equal(t, string(doc), "doc")
		_, err = c.Document(addr, "d2")
		assert.ErrorContains(t, err, "404")
	}
	_, err := testClient([]byte("guess")).Heartbeat(addr, Heartbeat{Proto: CurrentProto()})
	assert.ErrorContains(t, err, "401")
}

// TestClientRejectsOtherVersions guards against an answer of another protocol version that is decoded as one of this
// version.
func TestClientRejectsOtherVersions(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
		version    bool
		text       string
	}{
		{"does not read version 1", `{"proto":{"reads":[2,3],"writes":3}}`, 426, true, "2 to 3"},
		{"says so without a range", ``, 426, true, "reads versions"},
		{"writes version 2", `{"proto":{"reads":[1,2],"writes":2},"status":"granted"}`, 200, true, "version 2"},
		{"writes version 1 with unknown members", `{"proto":{"reads":[1,2],"writes":1},"status":"pending","new":1}`, 200, false, ""},
		{"writes no JSON", `granted`, 200, false, "decode"},
		{"fails", `busy`, 500, false, "500"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer s.Close()
			a, err := testClient(testKey).Ask(s.Listener.Addr().String(), AskRequest{Proto: CurrentProto()})
			assert.Equal(t, errors.Is(err, ErrVersion), tt.version, "%v", err)
			if tt.text != "" {
				assert.ErrorContains(t, err, tt.text)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, a.Status, Pending)
			}
			assert.Equal(t, calls.Load(), int32(1))
		})
	}
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Read counts the bytes sent by the client.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.in.Add(int64(n))
	return n, err
}

// Write counts the bytes sent to the client.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.out.Add(int64(n))
	return n, err
}

// BenchmarkCalls measures a round trip over loopback. The asks are for a prompt with 64 blocks and for a short one;
// the outcome is the only one in its message. The byte counts exclude TCP and IP headers.
func BenchmarkCalls(b *testing.B) {
	ask := AskRequest{Proto: CurrentProto(), Region: "amman", Pool: "models", LeftMS: 30_000, HoldMS: 300, Ask: pool.Ask{
		ID: "qasr-entry-1-68a1f00c-9f3b2c11-4k2", EntryInstance: "qasr-entry-1-68a1f00c-9f3b2c11", DataCentre: "amman-1",
		Team: "bridal", Route: "sizing", PromptTokens: 400, MaxOutputTokens: 200, Deadline: testNow,
	}}
	long := ask
	for n := range uint64(64) {
		long.Ask.Prefix = append(long.Ask.Prefix, n*0x9e3779b97f4a7c15)
	}
	outcomesRequest := OutcomesRequest{Proto: CurrentProto(), Pool: "models", From: ask.Ask.EntryInstance, Address: "10.20.30.40:7401", Outcomes: []pool.Outcome{{
		AskID: ask.Ask.ID, Result: pool.OK, Status: 200, FirstToken: 300 * time.Millisecond, InterToken: 20 * time.Millisecond, PromptTokens: 400, OutputTokens: 200,
	}}}
	beat := Heartbeat{Proto: CurrentProto(), Revision: 2500, Digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}
	beat.From.ID, beat.From.Incarnation, beat.From.Address = "qasr-entry-1", ask.Ask.EntryInstance, "10.20.30.40:7401"
	beat.Members = append(beat.Members, beat.From, beat.From, beat.From, beat.From, beat.From, beat.From, beat.From, beat.From)
	benches := []struct {
		name string
		call func(*Client, string) error
	}{
		{"ask without blocks", func(c *Client, addr string) error {
			_, err := c.Ask(addr, ask)
			return err
		}},
		{"ask with 64 blocks", func(c *Client, addr string) error {
			_, err := c.Ask(addr, long)
			return err
		}},
		{"outcome", func(c *Client, addr string) error {
			_, err := c.Outcomes(addr, outcomesRequest)
			return err
		}},
		{"heartbeat with 8 members", func(c *Client, addr string) error {
			_, err := c.Heartbeat(addr, beat)
			return err
		}},
	}
	for _, bb := range benches {
		b.Run(bb.name, func(b *testing.B) {
			var l *countingListener
			addr := startServer(b, &fakeHandler{}, func(ln net.Listener) net.Listener {
				l = &countingListener{Listener: ln}
				return l
			})
			c := testClient(testKey)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if err := bb.call(c, addr); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(l.in.Load())/float64(n), "request-B/op")
			b.ReportMetric(float64(l.out.Load())/float64(n), "answer-B/op")
		})
	}
}
