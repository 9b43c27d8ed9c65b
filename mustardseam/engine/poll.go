package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// loadReport is the JSON form of a load report.
type loadReport struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}

// LoadReport reads the load report of the named backend server.
func (c *Client) LoadReport(server, addr string) (pool.Report, error) {
	body, err := c.doPoll(fasthttp.MethodGet, addr, "/load", nil)
	if err != nil {
		return pool.Report{}, eris.Wrapf(err, "read load report of engine %s", addr)
	}
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return pool.Report{}, eris.Wrapf(err, "decode load report of engine %s", addr)
	}
	if report.Running < 0 || report.Waiting < 0 || report.AgeMS < 0 {
		return pool.Report{}, eris.Errorf("decode load report of engine %s: negative number", addr)
	}
	return pool.Report{
		Server: server, Sequence: report.Sequence, Age: time.Duration(report.AgeMS) * time.Millisecond,
		Running: report.Running, Waiting: report.Waiting, Cold: report.Cold, Version: report.Version,
	}, nil
}

// cacheEvent is the JSON form of a cache event.
type cacheEvent struct {
	Number  uint64 `json:"number"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents reads the cache events after the given number. It also returns the number of the last event, or the given
// number if there is none.
func (c *Client) CacheEvents(server, addr string, after uint64) ([]pool.CacheEvent, uint64, error) {
	body, err := c.doPoll(fasthttp.MethodGet, addr, fmt.Sprintf("/cache-events?after=%d", after), nil)
	if err != nil {
		return nil, after, eris.Wrapf(err, "read cache events of engine %s", addr)
	}
	var list []cacheEvent
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, after, eris.Wrapf(err, "decode cache events of engine %s", addr)
	}
	out := make([]pool.CacheEvent, len(list))
	for i, ev := range list {
		out[i] = pool.CacheEvent{Server: server, Block: ev.Block, Evicted: ev.Evicted}
		after = ev.Number
	}
	return out, after, nil
}

// Order tells an engine to load a version or an adapter or to change its role.
type Order struct {
	Kind         string `json:"kind"` // "load-version", "load-adapter" or "change-role".
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing-token"`
}

// SendOrder sends an order. An engine that checks fencing tokens refuses an outdated one with a StatusError of status
// 409.
func (c *Client) SendOrder(addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	_, err = c.doPoll(fasthttp.MethodPost, addr, "/orders", body)
	return eris.Wrapf(err, "send order to engine %s", addr)
}

func (c *Client) doPoll(method, addr, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if err := c.pollClient.DoTimeout(req, resp, c.cfg.PollTimeout); err != nil {
		return nil, err
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return nil, &StatusError{code, append([]byte{}, resp.Body()...)}
	}
	return append([]byte{}, resp.Body()...), nil
}
