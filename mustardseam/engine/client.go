package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// maxConns bounds the connections to one engine; admission keeps far below it.
const maxConns = 4096

// Client calls engines; its methods are safe for concurrent use.
type Client struct {
	cfg    Config
	dialer *tcp.Dialer
	stream *fasthttp.Client
	poll   *fasthttp.Client
}

// New returns a client that connects on demand.
func New(cfg Config) *Client {
	if cfg.LineBytes == 0 {
		cfg.LineBytes = defaultLine
	}
	c := &Client{cfg: cfg, dialer: tcp.New(tcp.Config{Idle: cfg.Idle})}
	c.stream = &fasthttp.Client{
		StreamResponseBody: true, MaxIdemponentCallAttempts: 1, RetryIfErr: never,
		Dial: c.dialer.Dial, MaxConnsPerHost: maxConns, MaxIdleConnDuration: time.Second,
	}
	c.poll = &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: c.dialer.Dial}
	return c
}

// never keeps the HTTP client from repeating a request, which could run it twice.
func never(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Close ends all streams.
func (c *Client) Close() { c.dialer.Close() }

// Start runs a request; the error is ErrNotRun when it certainly did not run, a StatusError when the engine refused
// or failed it, and otherwise leaves open whether it runs.
func (c *Client) Start(call Call) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + call.Address + call.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", call.ID)
	req.SetBodyRaw(call.Body)
	return c.open(call, req)
}

// Resume continues a stream after the given number of tokens.
func (c *Client) Resume(call Call, after int) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(fmt.Sprintf("http://%s/resume/%s?after=%d", call.Address, url.PathEscape(call.ID), after))
	return c.open(call, req)
}

func (c *Client) open(call Call, req *fasthttp.Request) (*Stream, error) {
	resp := fasthttp.AcquireResponse()
	err := c.stream.DoDeadline(req, resp, call.Deadline)
	if err == nil && resp.StatusCode() == fasthttp.StatusOK {
		return newStream(call.Address, c.cfg.LineBytes, req, resp), nil
	}
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	switch {
	case errors.Is(err, tcp.ErrNotConnected), errors.Is(err, fasthttp.ErrNoFreeConns):
		return nil, eris.Wrapf(ErrNotRun, "start at engine %s: %v", call.Address, err)
	case err != nil:
		return nil, eris.Wrapf(err, "start at engine %s", call.Address)
	case len(resp.Header.Peek("X-Not-Admitted")) > 0:
		return nil, eris.Wrapf(ErrNotRun, "start at engine %s: not admitted", call.Address)
	}
	body, _ := resp.BodyUncompressed()
	if s := resp.BodyStream(); s != nil {
		_ = resp.CloseBodyStream()
	}
	return nil, eris.Wrapf(&StatusError{resp.StatusCode(), append([]byte{}, body...)}, "start at engine %s", call.Address)
}

// Cancel stops a stream at the engine.
func (c *Client) Cancel(addr, id string) error {
	_, err := c.do(fasthttp.MethodPost, addr, "/cancel/"+url.PathEscape(id), nil)
	return eris.Wrapf(err, "cancel at engine %s", addr)
}

// load is a load report as the engine publishes it.
type load struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}

// Load reads the load report of the named backend server.
func (c *Client) Load(server, addr string) (pool.Report, error) {
	body, err := c.do(fasthttp.MethodGet, addr, "/load", nil)
	if err != nil {
		return pool.Report{}, eris.Wrapf(err, "read load of engine %s", addr)
	}
	var l load
	if err := json.Unmarshal(body, &l); err != nil {
		return pool.Report{}, eris.Wrapf(err, "decode load of engine %s", addr)
	}
	return pool.Report{
		Server: server, Sequence: l.Sequence, Age: time.Duration(l.AgeMS) * time.Millisecond,
		Running: l.Running, Waiting: l.Waiting, Cold: l.Cold, Version: l.Version,
	}, nil
}

// cacheEvent is a cache event as the engine publishes it.
type cacheEvent struct {
	Number  uint64 `json:"number"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents reads the cache events after the given number and returns the number of the last one.
func (c *Client) CacheEvents(server, addr string, after uint64) ([]pool.CacheEvent, uint64, error) {
	body, err := c.do(fasthttp.MethodGet, addr, fmt.Sprintf("/cache-events?after=%d", after), nil)
	if err != nil {
		return nil, after, eris.Wrapf(err, "read cache events of engine %s", addr)
	}
	var list []cacheEvent
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, after, eris.Wrapf(err, "decode cache events of engine %s", addr)
	}
	out := make([]pool.CacheEvent, len(list))
	for i, ev := range list {
		out[i] = pool.CacheEvent{Server: server, Block: ev.Block, Evicted: ev.Evicted}
		after = ev.Number
	}
	return out, after, nil
}

// Order tells an engine to load a version or an adapter or to change role.
type Order struct {
	Kind         string `json:"kind"` // "load-version", "load-adapter" or "change-role".
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing-token"`
}

// Order gives an order; engines that check fencing tokens refuse an old one with a StatusError of status 409.
func (c *Client) Order(addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	_, err = c.do(fasthttp.MethodPost, addr, "/orders", body)
	return eris.Wrapf(err, "order to engine %s", addr)
}

func (c *Client) do(method, addr, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if err := c.poll.DoTimeout(req, resp, c.cfg.Poll); err != nil {
		return nil, err
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return nil, &StatusError{code, append([]byte{}, resp.Body()...)}
	}
	return append([]byte{}, resp.Body()...), nil
}
