package service

import (
	"errors"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// ErrNotRun says that the service certainly did not run the call.
var ErrNotRun = errors.New("service did not run the call")

// maxAnswer bounds the body of an answer in bytes, since it is held in memory for a replay.
const maxAnswer = 8 << 20

// Client calls services; its methods are safe for concurrent use.
type Client struct {
	dialer *tcp.Dialer
	http   *fasthttp.Client
}

// New returns a client that connects on demand.
func New() *Client {
	c := &Client{dialer: tcp.New(tcp.Config{})}
	c.http = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, RetryIfErr: never, Dial: c.dialer.Dial, MaxResponseBodySize: maxAnswer,
	}
	return c
}

// never keeps the HTTP client from repeating a call, which could run it twice.
func never(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Close ends all calls.
func (c *Client) Close() { c.dialer.Close() }

// Do makes the call once; the error is ErrNotRun when it certainly did not run, any other leaves that open. Each call
// takes a fresh connection, because the loss of a reused one would leave open whether the call ran.
func (c *Client) Do(call Call) (Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + call.Address + call.Path)
	req.Header.SetMethod(call.Method)
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	req.SetConnectionClose()
	req.SetBodyRaw(call.Body)
	err := c.http.DoDeadline(req, resp, call.Deadline)
	switch {
	case errors.Is(err, tcp.ErrNotConnected), errors.Is(err, fasthttp.ErrNoFreeConns):
		return Answer{}, eris.Wrapf(ErrNotRun, "call service %s: %v", call.Address, err)
	case err != nil:
		return Answer{}, eris.Wrapf(err, "call service %s", call.Address)
	case resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(resp.Header.Peek("X-Not-Admitted")) > 0:
		return Answer{}, eris.Wrapf(ErrNotRun, "call service %s: not admitted", call.Address)
	}
	return answer(resp), nil
}

// answer copies the response, whose memory is reused.
func answer(resp *fasthttp.Response) Answer {
	out := Answer{Status: resp.StatusCode(), Header: map[string]string{}, Body: append([]byte{}, resp.Body()...)}
	for k, v := range resp.Header.All() {
		switch string(k) {
		case "Connection", "Content-Length", "Transfer-Encoding", "Server", "Date":
		default:
			out.Header[string(k)] = string(v)
		}
	}
	return out
}
