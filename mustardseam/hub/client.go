package hub

import (
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// reportPath and placePath are where reports and news of requests go.
	reportPath = "/hub/v1/report"
	placePath  = "/hub/v1/place"
	// placeTime bounds the hub's answer on requests, beside the time that it may take to decide: an answer takes a few
	// milliseconds, and a request whose hub is silent loses this part of its objective, 0.6 s and more.
	placeTime = 75 * time.Millisecond
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
	limit := callTime
	if r.Revision == 0 {
		limit = firstCallTime
	}
	var d Digest
	err := c.call(addr+reportPath, limit, r, &d)
	return d, err
}

// Place tells the hub at an address, IP:port, of requests and returns its decisions.
func (c *Client) Place(addr string, n News) (Decisions, error) {
	var d Decisions
	err := c.call(addr+placePath, placeTime+time.Duration(n.WaitMS)*time.Millisecond, n, &d)
	return d, err
}

// call sends a message and decodes the answer.
func (c *Client) call(to string, limit time.Duration, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + to)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, limit); err != nil {
		return eris.Wrapf(err, "send to %s", to)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("send to %s: status %d", to, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return eris.Wrapf(err, "decode answer of %s", to)
	}
	return nil
}
