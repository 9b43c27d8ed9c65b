package peer

import (
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// ErrVersion says that the peer does not read this program's version of the protocol, or writes another one.
var ErrVersion = errors.New("peer does not read this protocol version")

// maxAnswer bounds an answer in bytes: a kept answer of a service has up to 8 MB, and base64 adds a third.
const maxAnswer = 12 << 20

// ClientConfig says how a client authenticates itself.
type ClientConfig struct {
	Key     []byte
	Timeout time.Duration // Of a call that is not held by the peer; 1 s when zero.
	Now     func() time.Time
	Dial    tcp.DialFunc // Opens connections; nil for the usual way.
}

// Client calls other instances; its methods are safe for concurrent use.
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
		DialTimeout: tcp.NewDialer(tcp.DialerConfig{Dial: cfg.Dial}).DialTimeout, MaxConnsPerHost: maxConns, MaxResponseBodySize: maxAnswer,
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, RetryIfErr: never, DisablePathNormalizing: true,
	}}
}

// never keeps the HTTP client from repeating a call, whose signature the peer would refuse as a replay.
func never(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Ask asks the home at addr; the home may hold the call for the time that the request allows.
func (c *Client) Ask(addr string, r AskRequest) (AskAnswer, error) {
	var a AskAnswer
	err := c.post(addr, "/peer/v1/ask", r, &a, c.cfg.Timeout+time.Duration(r.HoldMS)*time.Millisecond)
	return a, err
}

// Done reports outcomes to the home at addr.
func (c *Client) Done(addr string, r DoneRequest) (Ack, error) {
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

// Answer fetches the answer of a done request from the instance at addr.
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
	var v versioned
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
		var v versioned
		_ = json.Unmarshal(resp.Body(), &v) // Without a range the status still says enough.
		return nil, eris.Wrapf(ErrVersion, "call %s of peer %s: it reads versions %d to %d", path, addr, v.Proto.Reads[0], v.Proto.Reads[1])
	default:
		return nil, eris.Errorf("call %s of peer %s: status %d", path, addr, code)
	}
}
