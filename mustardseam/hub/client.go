package hub

import (
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/jsonsize"
	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
)

const (
	// reportPath and placePath are the URL paths for reports and for placement updates.
	reportPath = "/hub/v1/report"
	placePath  = "/hub/v1/place"
	// placeTimeout bounds a placement call, not counting the time that the hub may wait for a decision. The hub responds
	// within a few milliseconds; a request whose hub does not respond loses this much of its objective of 0.6 s or more.
	placeTimeout = 75 * time.Millisecond
	// reportTimeout bounds a report and a dial; the response takes a few milliseconds unless the hub is overloaded or
	// unreachable.
	reportTimeout = 250 * time.Millisecond
	// firstReportTimeout bounds a report of an instance without a copy of the store, whose response holds all items.
	firstReportTimeout = time.Second
	// maxBodyBytes bounds a message; all items of a large fleet take about 500 KB.
	maxBodyBytes = 8 << 20
	// maxIdleTime is how long a client connection may be unused before it is closed.
	maxIdleTime = 10 * time.Second
)

// Client sends reports and placement updates to hubs; its methods are safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client that opens connections on demand and does not retry.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxBodyBytes,
		MaxIdleConnDuration: maxIdleTime,
		Dial: func(addr string) (net.Conn, error) {
			return rfc9112.Checked(net.DialTimeout("tcp", addr, reportTimeout))
		},
	}}
}

// Report sends a report to the hub at addr, IP:port, and returns its response.
func (c *Client) Report(addr string, r Report) (ReportResponse, error) {
	timeout := reportTimeout
	if r.Revision == 0 {
		timeout = firstReportTimeout
	}
	var resp ReportResponse
	err := c.call(addr+reportPath, timeout, r, &resp)
	if errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, syscall.ECONNRESET) {
		// The hub may have started again since the connection was used last. A report is recorded once, by its sequence number.
		resp = ReportResponse{}
		err = c.call(addr+reportPath, timeout, r, &resp)
	}
	return resp, err
}

// Place sends a placement update to the hub at addr, IP:port, and returns the hub's decisions.
func (c *Client) Place(addr string, u PlacementUpdate) (PlacementResponse, error) {
	var resp PlacementResponse
	err := c.call(addr+placePath, placeTimeout+time.Duration(u.WaitMS)*time.Millisecond, u, &resp)
	return resp, err
}

// call posts a message as JSON to endpoint, an address with a path, and decodes the response into response.
func (c *Client) call(endpoint string, timeout time.Duration, message, response any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + endpoint)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return eris.Wrapf(err, "send to %s", endpoint)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("send to %s: status %d", endpoint, resp.StatusCode())
	}
	if size := jsonsize.Decoded(resp.Body()); size > jsonsize.MaxDecoded {
		return eris.Errorf("response of %s: %d bytes when decoded, limit %d", endpoint, size, jsonsize.MaxDecoded)
	}
	if err := json.Unmarshal(resp.Body(), response); err != nil {
		return eris.Wrapf(err, "decode response of %s", endpoint)
	}
	return nil
}
