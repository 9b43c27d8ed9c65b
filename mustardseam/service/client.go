package service

import (
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// ErrNotRun means that the service certainly did not run the call.
var ErrNotRun = errors.New("service did not run the call")

const (
	// maxBodyBytes bounds the body of a response, which is held in memory for replay.
	maxBodyBytes = 8 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// maxConns bounds the connections to one service; admission keeps their number far below it.
	maxConns = 4096
)

// Client sends requests to services. Its methods are safe for concurrent use.
type Client struct {
	dialer *tcp.Dialer
	http   *fasthttp.Client
}

// New returns a client that connects on demand.
func New() *Client {
	c := &Client{dialer: tcp.NewDialer(tcp.DialerConfig{})}
	c.http = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, DialTimeout: rfc9112.CheckedDial(c.dialer.DialTimeout), MaxResponseBodySize: maxBodyBytes,
		MaxConnsPerHost: maxConns, ReadBufferSize: maxHeaderBytes, NoDefaultUserAgentHeader: true,
		// The service defines its paths and may distinguish %2F from a slash.
		DisablePathNormalizing: true,
	}
	return c
}

// neverRetry keeps the HTTP client from retrying a call, which could run it twice.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Close closes all connections, which aborts all calls.
func (c *Client) Close() { c.dialer.Close() }

// Do sends the call once. The error is ErrNotRun if the call certainly did not run; after any other error it may have
// run. Each call opens a new connection, because the loss of a reused one would leave open whether the call ran.
func (c *Client) Do(call Call) (Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + call.Address + call.Path)
	req.Header.SetMethod(call.Method)
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	req.SetConnectionClose()
	req.SetBodyRaw(call.Body)
	if err := c.send(call, req, resp); err != nil {
		return Response{}, eris.Wrapf(err, "call service %s", call.Address)
	}
	if notAdmitted(resp) {
		return Response{}, eris.Wrapf(ErrNotRun, "call service %s: not admitted", call.Address)
	}
	return newResponse(resp), nil
}

// send sends the call and reads the response. The error is ErrNotRun only if no byte of the call can have been sent:
// after any failure of an open connection, the service may have read the call.
func (c *Client) send(call Call, req *fasthttp.Request, resp *fasthttp.Response) error {
	if !time.Now().Before(call.Deadline) {
		return eris.Wrap(ErrNotRun, "deadline has passed")
	}
	err := c.http.DoDeadline(req, resp, call.Deadline)
	if errors.Is(err, tcp.ErrNotConnected) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return eris.Wrap(ErrNotRun, err.Error())
	}
	return err
}

// notAdmitted reports whether the service refused the call before admission. The header counts only with the status and
// the value that the protocol defines.
func notAdmitted(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek("X-Not-Admitted")) == "true"
}

// newResponse copies the response, whose memory is reused. Headers with the prefix of this system are dropped, so that
// a service cannot pose as the scheduler.
func newResponse(resp *fasthttp.Response) Response {
	resp.Header.SetNoDefaultContentType(true)
	out := Response{
		Status: resp.StatusCode(), Header: EndToEndHeaders(resp.Header.All()), Body: append([]byte{}, resp.Body()...),
	}
	// The server for callers sets the Date header of its own response.
	delete(out.Header, "Date")
	for name := range out.Header {
		if strings.HasPrefix(strings.ToLower(name), "mustardseam-") {
			delete(out.Header, name)
		}
	}
	return out
}
