package etcd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// watchSilence is the longest time without a byte from the store before a watch is begun anew.
const watchSilence = 30 * time.Second

// Watch calls fn for each change of the keys with the prefix from the revision on, until the stream ends, the
// context is done at an event, or the client is closed; it always returns an error.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func(KeyValue)) error {
	key := c.key(prefix)
	body, err := json.Marshal(watchRequest{watchCreate{Key: key, RangeEnd: after(key), StartRevision: from}})
	if err != nil {
		return err
	}
	addr := c.cfg.Addresses[int(c.next.Load())%len(c.cfg.Addresses)]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/v3/watch")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	if err := c.stream.Do(req, resp); err != nil {
		c.next.Add(1)
		return eris.Wrapf(ErrUnanswered, "watch %s: store %s: %v", prefix, addr, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		c.next.Add(1)
		return eris.Wrapf(ErrUnavailable, "watch %s: store %s: status %d", prefix, addr, resp.StatusCode())
	}
	return c.events(ctx, bufio.NewReaderSize(resp.BodyStream(), 64<<10), prefix, fn)
}

// events reads the lines of a watch.
func (c *Client) events(ctx context.Context, r *bufio.Reader, prefix string, fn func(KeyValue)) error {
	for {
		line, err := r.ReadBytes('\n')
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return eris.Wrapf(err, "watch %s", prefix)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var out watchResponse
		if err := json.Unmarshal(line, &out); err != nil {
			return eris.Wrapf(err, "watch %s: decode", prefix)
		}
		for _, ev := range out.Result.Events {
			kv := c.value(ev.KV)
			kv.Deleted = ev.Type == "DELETE"
			fn(kv)
		}
	}
}
