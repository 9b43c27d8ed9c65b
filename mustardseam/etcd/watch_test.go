package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// watchServer is a store whose watch sends the changes of revisions 1 to lastRevision and drops the stream after each
// message.
type watchServer struct {
	lastRevision int64
	calls        atomic.Int32 // Number of watch calls.
	failure      string       // Message that is sent instead of changes, if not empty.
}

// ServeHTTP handles a watch call.
func (h *watchServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	var in watchRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	_, _ = fmt.Fprint(w, `{"result":{"header":{"revision":"9"},"created":true}}`, "\n\n")
	if h.failure != "" {
		_, _ = io.WriteString(w, h.failure+"\n")
		return
	}
	// The message repeats the change before the requested revision, as a server does that sends whole batches.
	var events []string
	for rev := max(1, in.Create.StartRevision-1); rev <= min(h.lastRevision, in.Create.StartRevision+1); rev++ {
		events = append(events, fmt.Sprintf(`{"kv":{"key":"YQ==","value":"%s","mod_revision":"%d"}}`, strings.Repeat("YWFh", 30_000), rev))
	}
	line := `{"result":{"header":{"revision":"9"},"events":[` + strings.Join(events, ",") + "]}}\n"
	_, _ = io.WriteString(w, line+line[:len(line)/2])
}

// TestWatchResumesAfterDisconnect guards against changes that are lost or delivered twice when the store drops a watch
// within a message.
func TestWatchResumesAfterDisconnect(t *testing.T) {
	h := &watchServer{lastRevision: 5}
	addr := serve(t, h.ServeHTTP)
	c := New(Config{Addresses: []string{addr, addr}})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var revisions []int64
	err := c.Watch(ctx, "a", 2, func(kv KeyValue) {
		assert.Equal(t, len(kv.Value), 90_000)
		if revisions = append(revisions, kv.ModRevision); kv.ModRevision == 5 {
			cancel()
		}
	})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.DeepEqual(t, revisions, []int64{2, 3, 4, 5})
	assert.Equal(t, h.calls.Load(), int32(2))
}

// TestWatchReturnsOnRefusalOrClose guards against a watch that restarts forever although the store refused it, and
// against one that outlives its context or its client.
func TestWatchReturnsOnRefusalOrClose(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"result":{"events":[{"kv":{"key":"YQ==","mod_revision":"3"}}]}}`+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	tests := []struct {
		name   string
		server http.HandlerFunc
		end    func(*Client, context.CancelFunc) // Called at the first change.
		want   error
	}{
		{"compacted", (&watchServer{failure: `{"result":{"canceled":true,"compact_revision":"7"}}`}).ServeHTTP, nil, ErrUnavailable},
		{"error", (&watchServer{failure: `{"error":{"message":"unauthorised"}}`}).ServeHTTP, nil, ErrUnavailable},
		{"refused", reply(503, ""), nil, ErrUnavailable},
		{"no response", closeAfter(""), nil, ErrOutcomeUnknown},
		{"context done", silent, func(_ *Client, cancel context.CancelFunc) { cancel() }, context.Canceled},
		{"client closed", silent, func(c *Client, _ context.CancelFunc) { c.Close() }, ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Config{Addresses: []string{serve(t, tt.server)}})
			defer c.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			err := c.Watch(ctx, "a", 1, func(KeyValue) { tt.end(c, cancel) })
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}
