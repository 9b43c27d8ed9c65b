package etcd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	// watchIdleTimeout is the maximum time without a byte from the store before a watch is restarted.
	watchIdleTimeout = 30 * time.Second
	// watchRetryDelay is the wait before an interrupted watch is restarted, so that a store that drops watches gets at
	// most a few calls a second.
	watchRetryDelay = 250 * time.Millisecond
)

// errWatchInterrupted means that a watch had started and was interrupted, so that it may be restarted.
var errWatchInterrupted = errors.New("watch interrupted")

// Watch calls fn for each change of the keys with the prefix from the revision on, in the order of their revisions. An
// interrupted watch is restarted after the last change that was passed to fn. Watch returns if the store refuses the
// watch or no longer has the revision, if the context is done, or if the client is closed; it always returns an error.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func(KeyValue)) error {
	for {
		err := c.watchOnce(ctx, prefix, &from, fn)
		if !errors.Is(err, errWatchInterrupted) {
			return eris.Wrapf(err, "watch %s", prefix)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.ctx.Done():
			return eris.Wrapf(ErrUnavailable, "watch %s: client closed", prefix)
		case <-time.After(watchRetryDelay):
		}
	}
}

// watchOnce runs one watch call and advances from past the changes that were passed to fn. It uses its own connection,
// so that the end of the context closes it.
func (c *Client) watchOnce(ctx context.Context, prefix string, from *int64, fn func(KeyValue)) error {
	start, end := prefixRange(c.prefixedKey(prefix))
	body, err := json.Marshal(watchRequest{watchCreate{Key: start, RangeEnd: end, StartRevision: *from}})
	if err != nil {
		return err
	}
	dialer := tcp.NewDialer(tcp.DialerConfig{IdleTimeout: watchIdleTimeout})
	defer dialer.Close()
	defer context.AfterFunc(ctx, dialer.Close)()
	defer context.AfterFunc(c.ctx, dialer.Close)()
	index := c.addressIndex.Load()
	err = c.openWatch(dialer, c.addressAt(index), body, func(r *bufio.Reader) error { return c.readEvents(r, from, fn) })
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case c.ctx.Err() != nil:
		return eris.Wrap(ErrUnavailable, "client closed")
	case shouldFailOver(err) || errors.Is(err, errWatchInterrupted):
		c.addressIndex.CompareAndSwap(index, index+1)
	}
	return err
}

// openWatch sends the call and passes the body of the response to read.
func (c *Client) openWatch(dialer *tcp.Dialer, addr string, body []byte, read func(*bufio.Reader) error) error {
	client := fasthttp.HostClient{
		Addr: addr, StreamResponseBody: true, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry,
		DialTimeout: rfc9112.CheckedDial(dialer.DialTimeout), NoDefaultUserAgentHeader: true,
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	preparePost(req, addr, "/v3/watch", body)
	req.SetConnectionClose()
	if err := client.Do(req, resp); err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "store %s: %v", addr, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Wrapf(ErrUnavailable, "store %s: status %d", addr, resp.StatusCode())
	}
	return read(bufio.NewReaderSize(resp.BodyStream(), 64<<10))
}

// readEvents reads the messages of a watch. Changes before from were delivered by an earlier call.
func (c *Client) readEvents(r *bufio.Reader, from *int64, fn func(KeyValue)) error {
	for {
		line, err := readLine(r)
		if err != nil {
			return eris.Wrap(errWatchInterrupted, err.Error())
		}
		if len(line) == 0 {
			continue
		}
		var out watchResponse
		if err := json.Unmarshal(line, &out); err != nil {
			return eris.Wrapf(errWatchInterrupted, "decode: %v", err)
		}
		if err := out.watchError(); err != nil {
			return err
		}
		if err := c.deliver(out, from, fn); err != nil {
			return err
		}
	}
}

// deliver passes the changes of one message to fn. All changes of one revision arrive in one message.
func (c *Client) deliver(out watchResponse, from *int64, fn func(KeyValue)) error {
	next := *from
	for _, ev := range out.Result.Events {
		if ev.KV.ModRevision < *from {
			continue
		}
		kv, err := c.trimPrefix(ev.KV)
		if err != nil {
			return err
		}
		kv.Deleted = ev.Type == "DELETE"
		fn(kv)
		next = max(next, kv.ModRevision+1)
	}
	// Without a start revision, the watch begins after the revision of the store at the time of the call, which the
	// header of the first message contains.
	if *from == 0 && next == 0 && out.Result.Header.Revision > 0 {
		next = out.Result.Header.Revision + 1
	}
	*from = next
	return nil
}

// readLine returns the next line without its line end, or an error if the line exceeds maxWatchLineBytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > maxWatchLineBytes:
			return nil, errors.New("line too long")
		case err == nil:
			return bytes.TrimSpace(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
