package peer

import (
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// ErrVersion means that the peer cannot read this program's version of the protocol, or writes another one.
var ErrVersion = errors.New("peer does not read this protocol version")

// maxAnswerBytes bounds an answer: a kept answer of a service has up to 8 MB, and base64 adds a third.
const maxAnswerBytes = 12 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	Key     []byte           // Shared key that signs the calls.
	Timeout time.Duration    // Timeout of a call, in addition to the time for which the peer may hold it; 1 s if zero.
	Now     func() time.Time // Returns the current time.
	Dial    tcp.DialFunc     // Opens connections; nil selects the default dialer.
}

// Client calls other instances. Its methods are safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	http *fasthttp.Client
}

// NewClient returns a client that connects on demand.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = time.Second
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		DialTimeout: rfc9112.CheckedDial(tcp.NewDialer(tcp.DialerConfig{Dial: cfg.Dial}).DialTimeout), MaxConnsPerHost: maxConns, MaxResponseBodySize: maxAnswerBytes,
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, DisablePathNormalizing: true,
	}}
}

// neverRetry prevents the HTTP client from repeating a call, because the peer would reject the repeated signature as
// a replay.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Ask asks the home at addr for a permit. The home may hold the call for the time that the request allows.
func (c *Client) Ask(addr string, r AskRequest) (AskAnswer, error) {
	var a AskAnswer
	err := c.post(addr, "/peer/v1/ask", r, &a, c.cfg.Timeout+time.Duration(r.HoldMS)*time.Millisecond)
	return a, err
}

// Outcomes reports outcomes to the home at addr.
func (c *Client) Outcomes(addr string, r OutcomesRequest) (Ack, error) {
	var a Ack
	err := c.post(addr, "/peer/v1/done", r, &a, c.cfg.Timeout)
	return a, err
}

// Heartbeat exchanges heartbeats with the instance at addr.
func (c *Client) Heartbeat(addr string, h Heartbeat) (Heartbeat, error) {
	var a Heartbeat
	err := c.post(addr, "/peer/v1/heartbeat", h, &a, c.cfg.Timeout)
	return a, err
}

// Consent asks the candidate at addr for its consent.
func (c *Client) Consent(addr string, r ConsentRequest) (ConsentAnswer, error) {
	var a ConsentAnswer
	err := c.post(addr, "/peer/v1/consent", r, &a, c.cfg.Timeout)
	return a, err
}

// Document fetches a packed configuration document from the instance at addr.
func (c *Client) Document(addr, digest string) ([]byte, error) {
	return c.send(addr, fasthttp.MethodGet, "/peer/v1/config/"+url.PathEscape(digest), nil, c.cfg.Timeout)
}

// Answer fetches the kept answer of a done request from the instance at addr.
func (c *Client) Answer(addr, request string) ([]byte, error) {
	return c.send(addr, fasthttp.MethodGet, "/peer/v1/answer/"+url.PathEscape(request), nil, c.cfg.Timeout)
}

func (c *Client) post(addr, path string, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode %s", path)
	}
	b, err := c.send(addr, fasthttp.MethodPost, path, body, timeout)
	if err != nil {
		return err
	}
	var v protoHeader
	if json.Unmarshal(b, &v) == nil && !v.Proto.Readable() {
		return eris.Wrapf(ErrVersion, "call %s of peer %s: it writes version %d", path, addr, v.Proto.Writes)
	}
	return eris.Wrapf(json.Unmarshal(b, out), "decode %s of peer %s", path, addr)
}

func (c *Client) send(addr, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.Header.Set(authHeader, sign(c.cfg.Key, c.cfg.Now(), addr, method, path, body))
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, eris.Wrapf(err, "call %s of peer %s", path, addr)
	}
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return append([]byte{}, resp.Body()...), nil
	case fasthttp.StatusUpgradeRequired:
		var v protoHeader
		_ = json.Unmarshal(resp.Body(), &v) // The status suffices if the body has no version range.
		return nil, eris.Wrapf(ErrVersion, "call %s of peer %s: it reads versions %d to %d", path, addr, v.Proto.Reads[0], v.Proto.Reads[1])
	default:
		return nil, eris.Errorf("call %s of peer %s: status %d", path, addr, code)
	}
}
