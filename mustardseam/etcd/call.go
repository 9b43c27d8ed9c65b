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

// callIdempotent sends a call that may be repeated. It tries each address once and gives each attempt an equal share of
// the remaining time, so that an unresponsive address does not use it up.
func (c *Client) callIdempotent(ctx context.Context, path string, in, out any) error {
	return c.callAddresses(ctx, path, in, out, shouldFailOver, func(now, deadline time.Time, remaining int) time.Time {
		return now.Add(deadline.Sub(now) / time.Duration(remaining))
	})
}

// callNonIdempotent sends a call that must not be repeated. It tries another address only if the previous one certainly
// did not take the call, so each attempt may use all of the remaining time.
func (c *Client) callNonIdempotent(ctx context.Context, path string, in, out any) error {
	return c.callAddresses(ctx, path, in, out, func(err error) bool { return errors.Is(err, ErrUnavailable) },
		func(_, deadline time.Time, _ int) time.Time { return deadline })
}

// callAddresses tries the addresses in turn, beginning with the last one that answered, as long as mayRetry accepts the
// error. attemptDeadline returns the deadline of the next attempt, given the number of remaining addresses.
func (c *Client) callAddresses(ctx context.Context, path string, in, out any,
	mayRetry func(error) bool, attemptDeadline func(now, deadline time.Time, remaining int) time.Time,
) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	deadline := callDeadline(ctx, c.cfg.Timeout)
	for remaining := len(c.cfg.Addresses); ; remaining-- {
		index := c.addressIndex.Load()
		err = c.send(c.addressAt(index), path, body, out, attemptDeadline(time.Now(), deadline, remaining))
		if !shouldFailOver(err) {
			return err
		}
		c.addressIndex.CompareAndSwap(index, index+1)
		if remaining == 1 || !mayRetry(err) {
			return err
		}
	}
}

// shouldFailOver reports whether the next call goes to another address.
func shouldFailOver(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
}

func (c *Client) addressAt(index uint32) string {
	return c.cfg.Addresses[int(index)%len(c.cfg.Addresses)]
}

// send makes one attempt at one address.
func (c *Client) send(addr, path string, body []byte, out any, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return eris.Wrapf(ErrUnavailable, "store %s: deadline has passed", addr)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	preparePost(req, addr, path, body)
	err := c.http.DoDeadline(req, resp, deadline)
	switch {
	case errors.Is(err, tcp.ErrNotConnected), errors.Is(err, fasthttp.ErrNoFreeConns):
		return eris.Wrapf(ErrUnavailable, "store %s: %v", addr, err)
	case err != nil:
		return eris.Wrapf(ErrOutcomeUnknown, "store %s: %v", addr, err)
	case resp.StatusCode() != fasthttp.StatusOK:
		return statusError(addr, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "store %s: decode response: %v", addr, err)
	}
	return nil
}

func preparePost(req *fasthttp.Request, addr, path string, body []byte) {
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
}

// refusalMessages are the messages with which the store refuses a call before it proposes the call to its members.
// Other messages with the same status, such as a timeout or a change of leader, leave open whether a write takes
// effect.
var refusalMessages = []string{"etcdserver: no leader", "etcdserver: too many requests"}

// statusError returns the error for a response with a status other than 200.
func statusError(addr string, status int, body []byte) error {
	var m struct {
		Error   string `json:"error"`
		Message string `json:"message"`
	}
	// A body of another form has no message, so that the outcome stays open.
	_ = json.Unmarshal(body, &m)
	for _, text := range refusalMessages {
		if strings.HasPrefix(m.Error, text) || strings.HasPrefix(m.Message, text) {
			return eris.Wrapf(ErrUnavailable, "store %s: status %d: %s", addr, status, text)
		}
	}
	if status >= fasthttp.StatusInternalServerError {
		return eris.Wrapf(ErrOutcomeUnknown, "store %s: status %d: %s", addr, status, m.Error)
	}
	return eris.Errorf("store %s: status %d: %s", addr, status, m.Error)
}

// callDeadline returns the earlier of the context's deadline and the end of the timeout from now.
func callDeadline(ctx context.Context, timeout time.Duration) time.Time {
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}
