package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// read sends a call that may be repeated; it tries each address once, and each gets an equal part of the time that is
// left, so that a silent one does not use it up.
func (c *Client) read(ctx context.Context, path string, in, out any) error {
	return c.call(ctx, path, in, out, failedOver, func(now, end time.Time, left int) time.Time {
		return now.Add(end.Sub(now) / time.Duration(left))
	})
}

// write sends a call that must not be repeated; it tries another address only when the one before certainly did not
// take it, so each may use all of the time.
func (c *Client) write(ctx context.Context, path string, in, out any) error {
	return c.call(ctx, path, in, out, func(err error) bool { return errors.Is(err, ErrUnavailable) },
		func(_, end time.Time, _ int) time.Time { return end })
}

// call tries the addresses in turn, beginning with the last that answered, while again allows it; until says how long
// the next one may take when so many are left.
func (c *Client) call(ctx context.Context, path string, in, out any,
	again func(error) bool, until func(now, end time.Time, left int) time.Time,
) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	end := deadline(ctx, c.cfg.Timeout)
	for left := len(c.cfg.Addresses); ; left-- {
		at := c.next.Load()
		err = c.send(c.address(at), path, body, out, until(time.Now(), end, left))
		if !failedOver(err) {
			return err
		}
		c.next.CompareAndSwap(at, at+1)
		if left == 1 || !again(err) {
			return err
		}
	}
}

// failedOver reports whether the next call goes to another address.
func failedOver(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnanswered)
}

func (c *Client) address(n uint32) string { return c.cfg.Addresses[int(n)%len(c.cfg.Addresses)] }

// send makes one call to one address.
func (c *Client) send(addr, path string, body []byte, out any, end time.Time) error {
	if !time.Now().Before(end) {
		return eris.Wrapf(ErrUnavailable, "store %s: deadline has passed", addr)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	post(req, addr, path, body)
	err := c.http.DoDeadline(req, resp, end)
	switch {
	case errors.Is(err, tcp.ErrNotConnected), errors.Is(err, fasthttp.ErrNoFreeConns):
		return eris.Wrapf(ErrUnavailable, "store %s: %v", addr, err)
	case err != nil:
		return eris.Wrapf(ErrUnanswered, "store %s: %v", addr, err)
	case resp.StatusCode() != fasthttp.StatusOK:
		return refused(addr, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return eris.Wrapf(ErrUnanswered, "store %s: decode answer: %v", addr, err)
	}
	return nil
}

func post(req *fasthttp.Request, addr, path string, body []byte) {
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
}

// refusals are the messages with which the store refuses a call before it proposes it to its members. Other messages of
// the same status, such as a timeout or a change of leader, leave open whether a write takes effect.
var refusals = []string{"etcdserver: no leader", "etcdserver: too many requests"}

// refused turns an answer other than 200 into an error.
func refused(addr string, status int, body []byte) error {
	var m struct {
		Error   string `json:"error"`
		Message string `json:"message"`
	}
	// A body of another form has no message, so that the outcome stays open.
	_ = json.Unmarshal(body, &m)
	for _, text := range refusals {
		if strings.HasPrefix(m.Error, text) || strings.HasPrefix(m.Message, text) {
			return eris.Wrapf(ErrUnavailable, "store %s: status %d: %s", addr, status, text)
		}
	}
	if status >= fasthttp.StatusInternalServerError {
		return eris.Wrapf(ErrUnanswered, "store %s: status %d: %s", addr, status, m.Error)
	}
	return eris.Errorf("store %s: status %d: %s", addr, status, m.Error)
}

// deadline returns the earlier of the context's deadline and the timeout from now.
func deadline(ctx context.Context, timeout time.Duration) time.Time {
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}
