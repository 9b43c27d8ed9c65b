package etcd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// The HTTP client ends these goroutines some seconds after its last connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// serve handles requests on loopback until the end of the test and returns the address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// reply returns a handler that answers every call with the status and the body.
func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// closeAfter returns a handler that closes the connection after part of a response.
func closeAfter(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, b, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = b.WriteString(part)
		_ = b.Flush()
		_ = c.Close()
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return s.Listener.Addr().String()
}

const swapResponse = `{"header":{"revision":"8"},"succeeded":true}`

// TestFailover guards against a write that is sent twice, a write with an unknown outcome that is reported as having
// had no effect, and a read that fails although another address would answer.
func TestFailover(t *testing.T) {
	tests := []struct {
		name       string
		handler    http.HandlerFunc // Handler of the first address; nil if nothing listens there.
		notTaken   bool             // Whether the first address certainly did not take the call.
		definitive bool             // Whether the answer is definitive, so that no other address is tried.
	}{
		{"connection refused", nil, true, false},
		{"no leader", reply(503, `{"error":"etcdserver: no leader","code":14}`), true, false},
		{"too many requests", reply(429, `{"message":"etcdserver: too many requests","code":8}`), true, false},
		{"request timed out in the store", reply(503, `{"error":"etcdserver: request timed out","code":14}`), false, false},
		{"leader changed", reply(503, `{"error":"etcdserver: leader changed","code":14}`), false, false},
		{"503 without a reason", reply(503, "busy"), false, false},
		{"closed before the first byte", closeAfter(""), false, false},
		{"closed within the response", closeAfter("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"), false, false},
		{"response is not JSON", reply(200, "{"), false, false},
		{"no response", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // Without this the server does not notice that the client disconnects.
			<-r.Context().Done()
		}, false, false},
		{"invalid call", reply(400, `{"error":"etcdserver: key is not provided","code":3}`), false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := unusedAddress(t)
			if tt.handler != nil {
				first = serve(t, tt.handler)
			}
			var secondCalls atomic.Int32
			second := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				secondCalls.Add(1)
				_, _ = io.WriteString(w, swapResponse)
			})
			connect := func() *Client {
				c := New(Config{Addresses: []string{first, second}, Timeout: 400 * time.Millisecond})
				t.Cleanup(c.Close)
				return c
			}
			ctx := context.Background()
			_, _, err := connect().Get(ctx, "a")
			assert.Equal(t, err != nil, tt.definitive, "%v", err)
			secondCalls.Store(0)
			c := connect()
			_, ok, err := c.CompareAndSwap(ctx, "a", nil, 0)
			assert.Equal(t, ok, tt.notTaken, "%v", err)
			assert.Equal(t, secondCalls.Load() == 1, tt.notTaken)
			assert.Equal(t, errors.Is(err, ErrOutcomeUnknown), !tt.notTaken && !tt.definitive, "%v", err)
			assert.Assert(t, !errors.Is(err, ErrUnavailable), "%v", err)
			_, ok, err = c.CompareAndSwap(ctx, "a", nil, 0)
			assert.Equal(t, ok, !tt.definitive, "the next write goes to the other address: %v", err)
		})
	}
}

// TestUnavailableWhenNothingSent guards against an outage of all addresses that leaves open whether a write took
// effect.
func TestUnavailableWhenNothingSent(t *testing.T) {
	c := New(Config{Addresses: []string{unusedAddress(t), unusedAddress(t)}})
	defer c.Close()
	_, _, err := c.CompareAndSwap(context.Background(), "a", nil, 0)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	ctx, cancel := context.WithTimeout(context.Background(), -time.Second)
	defer cancel()
	_, err = c.CompareAndDelete(ctx, "a", 1)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
}

// TestGatewayMessages guards against messages that the gateway would refuse or interpret differently.
func TestGatewayMessages(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name, path, body string
		call             func(*Client) error
	}{
		{"get", "/v3/kv/range", `{"key":"cC9h"}`, func(c *Client) error {
			_, _, err := c.Get(ctx, "a")
			return err
		}},
		{"list", "/v3/kv/range", `{"key":"cC9h","range_end":"cC9i"}`, func(c *Client) error {
			_, err := c.List(ctx, "a")
			return err
		}},
		{
			"swap", "/v3/kv/txn", `{"compare":[{"key":"cC9h","target":"MOD","result":"EQUAL","mod_revision":"7"}],` +
				`"success":[{"requestPut":{"key":"cC9h","value":"dg=="}}]}`, func(c *Client) error {
				_, _, err := c.CompareAndSwap(ctx, "a", []byte("v"), 7)
				return err
			},
		},
		{
			"leased swap", "/v3/kv/txn", `{"compare":[{"key":"cC9h","target":"MOD","result":"EQUAL","mod_revision":"0"}],` +
				`"success":[{"requestPut":{"key":"cC9h","value":"dg==","lease":"9"}}]}`, func(c *Client) error {
				_, _, err := c.CompareAndSwapLeased(ctx, "a", []byte("v"), 0, 9)
				return err
			},
		},
		{
			"delete", "/v3/kv/txn", `{"compare":[{"key":"cC9h","target":"MOD","result":"EQUAL","mod_revision":"7"}],` +
				`"success":[{"requestDeleteRange":{"key":"cC9h"}}]}`, func(c *Client) error {
				_, err := c.CompareAndDelete(ctx, "a", 7)
				return err
			},
		},
		{"grant", "/v3/lease/grant", `{"TTL":"2"}`, func(c *Client) error {
			_, err := c.GrantLease(ctx, 2500*time.Millisecond)
			return err
		}},
		{"renew", "/v3/lease/keepalive", `{"ID":"9"}`, func(c *Client) error {
			_, err := c.KeepAlive(ctx, 9)
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := make(chan string, 1)
			c := New(Config{Prefix: "p/", Addresses: []string{serve(t, func(w http.ResponseWriter, r *http.Request) {
				b, _ := io.ReadAll(r.Body)
				got <- r.URL.Path + string(b)
				_, _ = io.WriteString(w, "{}")
			})}})
			defer c.Close()
			assert.NilError(t, tt.call(c))
			assert.Equal(t, <-got, tt.path+tt.body)
		})
	}
}

// TestPrefixRange guards against a range that misses keys with the prefix or includes others.
func TestPrefixRange(t *testing.T) {
	tests := []struct{ prefix, from, end string }{
		{"a", "a", "b"},
		{"a\xff", "a\xff", "b"},
		{"\xff\xff", "\xff\xff", "\x00"},
		{"", "\x00", "\x00"},
	}
	for _, tt := range tests {
		from, end := prefixRange([]byte(tt.prefix))
		assert.Equal(t, string(from), tt.from)
		assert.Equal(t, string(end), tt.end)
	}
}

// TestKeyOutsidePrefixRefused guards against a crash on a response with a key that was not requested.
func TestKeyOutsidePrefixRefused(t *testing.T) {
	c := New(Config{Prefix: "mustardseam/", Addresses: []string{serve(t, reply(200, `{"kvs":[{"key":"YQ==","mod_revision":"3"}]}`))}})
	defer c.Close()
	_, _, err := c.Get(context.Background(), "a")
	assert.ErrorContains(t, err, "not requested")
	_, err = c.List(context.Background(), "a")
	assert.ErrorContains(t, err, "not requested")
}
