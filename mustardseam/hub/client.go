package hub

import (
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// path is where reports go.
	path = "/hub/v1/report"
	// callTime bounds a report; the answer takes a few milliseconds unless the hub is overloaded or cut off.
	callTime = 250 * time.Millisecond
	// firstCallTime bounds the first report to a hub, whose answer holds all items of the store.
	firstCallTime = time.Second
	// maxBody bounds a report or digest in bytes; all items of a large fleet take some 500 KB.
	maxBody = 8 << 20
	// maxIdle closes a connection that was not used for this long.
	maxIdle = 10 * time.Second
)

// Client sends reports; its methods are safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxBody, MaxIdleConnDuration: maxIdle,
		Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, callTime) },
	}}
}

// Report tells the hub at an address, IP:port, and returns its answer.
func (c *Client) Report(addr string, r Report) (Digest, error) {
	var d Digest
	body, err := json.Marshal(r)
	if err != nil {
		return d, eris.Wrap(err, "encode report")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	limit := callTime
	if r.Revision == 0 {
		limit = firstCallTime
	}
	if err := c.http.DoTimeout(req, resp, limit); err != nil {
		return d, eris.Wrapf(err, "report to %s", addr)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return d, eris.Errorf("report to %s: status %d", addr, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &d); err != nil {
		return d, eris.Wrapf(err, "decode digest of %s", addr)
	}
	return d, nil
}
