package service

import (
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// ErrNotRun says that the service certainly did not run the call.
var ErrNotRun = errors.New("service did not run the call")

const (
	// maxBodyBytes bounds the body of an answer in bytes, since it is held in memory for a replay.
	maxBodyBytes = 8 << 20
	// maxHeaderBytes bounds the header of an answer in bytes.
	maxHeaderBytes = 16 << 10
	// maxConns bounds the connections to one service; admission keeps far below it.
	maxConns = 4096
)

// Client calls services; its methods are safe for concurrent use.
type Client struct {
	dialer *tcp.Dialer
	http   *fasthttp.Client
}

// New returns a client that connects on demand.
func New() *Client {
	c := &Client{dialer: tcp.NewDialer(tcp.DialerConfig{})}
	c.http = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, DialTimeout: c.dialer.DialTimeout, MaxResponseBodySize: maxBodyBytes,
		MaxConnsPerHost: maxConns, ReadBufferSize: maxHeaderBytes, NoDefaultUserAgentHeader: true,
		// The path belongs to the service, which may tell %2F from a slash.
		DisablePathNormalizing: true,
	}
	return c
}

// neverRetry keeps the HTTP client from repeating a call, which could run it twice.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Close ends all calls.
func (c *Client) Close() { c.dialer.Close() }

// Do makes the call once; the error is ErrNotRun when it certainly did not run, any other leaves that open. Each call
// takes a fresh connection, because the loss of a reused one would leave open whether the call ran.
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

// send reads the response. The error is ErrNotRun only when no byte of the call can have left: any failure of an open
// connection leaves open whether the service has read the call.
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

// notAdmitted reports whether the service refused the call before it was admitted; the header counts only with the
// status and the value that the protocol gives it.
func notAdmitted(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek("X-Not-Admitted")) == "true"
}

// newResponse copies the response, whose memory is reused. Headers of this system's name are left out, so that a service
// cannot claim to be the scheduler.
func newResponse(resp *fasthttp.Response) Response {
	out := Response{
		Status: resp.StatusCode(), Header: EndToEndHeaders(resp.Header.All()), Body: append([]byte{}, resp.Body()...),
	}
	// The server of the callers sets the date of its own response.
	delete(out.Header, "Date")
	for name := range out.Header {
		if strings.HasPrefix(strings.ToLower(name), "mustardseam-") {
			delete(out.Header, name)
		}
	}
	return out
}
