package engine

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	// maxConns bounds the connections to one engine; admission keeps their number far below it.
	maxConns = 4096
	// maxPollBytes bounds the response to a poll; the cache events of a second are far smaller.
	maxPollBytes = 4 << 20
	// maxErrorBodyBytes bounds the body of an error response.
	maxErrorBodyBytes = 64 << 10
)

// Client sends requests to engines. Its methods are safe for concurrent use.
type Client struct {
	cfg          Config
	dialer       *tcp.Dialer
	streamClient *fasthttp.Client // Starts and resumes streams.
	pollClient   *fasthttp.Client // Makes all other calls.
}

// New returns a client that connects on demand.
func New(cfg Config) *Client {
	if cfg.MaxLineBytes == 0 {
		cfg.MaxLineBytes = defaultLineBytes
	}
	c := &Client{cfg: cfg, dialer: tcp.NewDialer(tcp.DialerConfig{IdleTimeout: cfg.IdleTimeout})}
	c.streamClient = &fasthttp.Client{
		StreamResponseBody: true, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, NoDefaultUserAgentHeader: true,
		DialTimeout: rfc9112.CheckedDial(c.dialer.DialTimeout), MaxConnsPerHost: maxConns, MaxIdleConnDuration: time.Second,
		DisablePathNormalizing: true,
	}
	c.pollClient = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, NoDefaultUserAgentHeader: true,
		DialTimeout: rfc9112.CheckedDial(c.dialer.DialTimeout), MaxResponseBodySize: maxPollBytes, DisablePathNormalizing: true,
	}
	return c
}

// neverRetry keeps the HTTP client from retrying a request, which could run it twice.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Close closes all connections, which ends all streams.
func (c *Client) Close() { c.dialer.Close() }

// Start starts a request. The error is ErrNotRun if the request certainly did not run and a StatusError if the engine
// refused or failed it; after any other error the request may be running.
func (c *Client) Start(call Call) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + call.Address + call.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", call.ID)
	req.SetBodyRaw(call.Body)
	return c.openStream(call, req)
}

// Resume continues a stream after the given number of tokens.
func (c *Client) Resume(call Call, after int) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(fmt.Sprintf("http://%s/resume/%s?after=%d", call.Address, url.PathEscape(call.ID), after))
	return c.openStream(call, req)
}

func (c *Client) openStream(call Call, req *fasthttp.Request) (*Stream, error) {
	resp := fasthttp.AcquireResponse()
	err := c.sendRequest(call, req, resp)
	if err == nil && resp.StatusCode() == fasthttp.StatusOK {
		return newStream(call.Address, c.cfg.MaxLineBytes, req, resp), nil
	}
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err != nil {
		return nil, eris.Wrapf(err, "start at engine %s", call.Address)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if notAdmitted(resp) {
		return nil, eris.Wrapf(ErrNotRun, "start at engine %s: not admitted", call.Address)
	}
	return nil, eris.Wrapf(&StatusError{resp.StatusCode(), errorBody(resp)}, "start at engine %s", call.Address)
}

// sendRequest sends the request and reads the head of the response. The error is ErrNotRun only if no byte of the
// request can have been sent: after any failure of an open connection, the engine may have read the request.
func (c *Client) sendRequest(call Call, req *fasthttp.Request, resp *fasthttp.Response) error {
	if !time.Now().Before(call.Deadline) {
		return eris.Wrap(ErrNotRun, "deadline has passed")
	}
	err := c.streamClient.DoDeadline(req, resp, call.Deadline)
	if errors.Is(err, tcp.ErrNotConnected) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return eris.Wrap(ErrNotRun, err.Error())
	}
	return err
}

// notAdmitted reports whether the engine refused the request before admission. The header counts only with the status
// and the value that the protocol defines.
func notAdmitted(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek("X-Not-Admitted")) == "true"
}

// errorBody reads the body of an error response.
func errorBody(resp *fasthttp.Response) []byte {
	stream := resp.BodyStream()
	if stream == nil {
		return append([]byte{}, resp.Body()...)
	}
	// A refusal with a truncated body is still a refusal, so the error is ignored.
	body, _ := io.ReadAll(io.LimitReader(stream, maxErrorBodyBytes))
	return body
}

// Cancel cancels a stream at the engine.
func (c *Client) Cancel(addr, id string) error {
	_, err := c.doPoll(fasthttp.MethodPost, addr, "/cancel/"+url.PathEscape(id), nil)
	return eris.Wrapf(err, "cancel at engine %s", addr)
}
