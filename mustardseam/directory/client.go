package directory

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	timeout = time.Second
	// maxAnswer is the largest response body in bytes; the list of 350 instances takes some 50 KB.
	maxAnswer = 1 << 20
	// minRetry is the shortest delay before a retry, and the delay when the weight store gives none.
	minRetry = time.Second
	// maxRetry is the longest delay that the weight store can request.
	maxRetry = 10 * time.Minute
)

// Client is a client of the platform's API; its methods are safe for concurrent use.
type Client struct {
	addr string
	http *fasthttp.Client
}

// New returns a client of the platform at addr, which has the form IP:port.
func New(addr string) *Client {
	return &Client{addr: addr, http: &fasthttp.Client{
		MaxResponseBodySize: maxAnswer, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		DialTimeout: rfc9112.CheckedDial(tcp.NewDialer(tcp.DialerConfig{}).DialTimeout),
	}}
}

// Instances returns the platform's list of instances, which lags behind the actual state. An entry without id or
// address is an error for the whole list, because other instances take an instance that is missing from the list for
// stopped.
func (c *Client) Instances() ([]Instance, error) {
	status, body, _, err := c.get("/instances")
	if err != nil {
		return nil, eris.Wrapf(err, "read instance list of platform %s", c.addr)
	}
	if status != fasthttp.StatusOK {
		return nil, eris.Errorf("read instance list of platform %s: status %d", c.addr, status)
	}
	var list []Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrapf(err, "decode instance list of platform %s", c.addr)
	}
	if list == nil {
		return nil, eris.Errorf("decode instance list of platform %s: no list", c.addr)
	}
	for n, i := range list {
		if i.ID == "" || i.Address == "" {
			return nil, eris.Errorf("decode instance list of platform %s: entry %d has no id or no address", c.addr, n)
		}
	}
	return list, nil
}

// RequestWeights requests the weights of a model, version or adapter. If the rate limit of the weight store is reached,
// retry is the positive delay before the next attempt.
func (c *Client) RequestWeights(name string) (retry time.Duration, err error) {
	status, _, after, err := c.get("/weights/" + url.PathEscape(name))
	switch {
	case err != nil:
		return 0, eris.Wrapf(err, "load weights %s from platform %s", name, c.addr)
	case status == fasthttp.StatusTooManyRequests:
		return min(max(after, minRetry), maxRetry), nil
	case status != fasthttp.StatusOK:
		return 0, eris.Errorf("load weights %s from platform %s: status %d", name, c.addr, status)
	}
	return 0, nil
}

// get sends a GET request, which is safe to repeat.
func (c *Client) get(path string) (status int, body []byte, after time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + path)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, 0, err
	}
	return resp.StatusCode(), append([]byte{}, resp.Body()...), retryAfter(resp), nil
}

// retryAfter returns the delay in the Retry-After header, which holds seconds or a date (RFC 9110 section 10.2.3), or 0
// if it holds neither.
func retryAfter(resp *fasthttp.Response) time.Duration {
	text := resp.Header.Peek(fasthttp.HeaderRetryAfter)
	if sec, err := strconv.ParseInt(string(text), 10, 32); err == nil {
		return time.Duration(sec) * time.Second
	}
	at, err := fasthttp.ParseHTTPDate(text)
	if err != nil {
		return 0
	}
	return time.Until(at)
}
