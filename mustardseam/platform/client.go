package platform

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const timeout = time.Second

// Client calls the platform; its methods are safe for concurrent use.
type Client struct {
	addr string
	http *fasthttp.Client
}

// New returns a client of the platform at addr, IP:port.
func New(addr string) *Client {
	return &Client{addr: addr, http: &fasthttp.Client{MaxResponseBodySize: 1 << 20}}
}

// Instances reads the list, which lags behind the truth.
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
	return list, nil
}

// Weights asks for the weights of a model, version or adapter; retry is above 0 when the rate of the weight store is
// used up and says how long to wait.
func (c *Client) Weights(name string) (retry time.Duration, err error) {
	status, _, after, err := c.get("/weights/" + name)
	switch {
	case err != nil:
		return 0, eris.Wrapf(err, "load weights %s from platform %s", name, c.addr)
	case status == fasthttp.StatusTooManyRequests:
		return max(after, time.Second), nil
	case status != fasthttp.StatusOK:
		return 0, eris.Errorf("load weights %s from platform %s: status %d", name, c.addr, status)
	}
	return 0, nil
}

func (c *Client) get(path string) (status int, body []byte, after time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + path)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, 0, err
	}
	sec, _ := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	return resp.StatusCode(), append([]byte{}, resp.Body()...), time.Duration(sec) * time.Second, nil
}
