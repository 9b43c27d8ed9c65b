package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// state is the state of an instance as GET /state answers. Its members are kept as JSON: instances of different
// versions have different ones, and this tool prints what is there.
type state map[string]json.RawMessage

// text returns a member as a string, "" when it is missing or is no scalar.
func (s state) text(member string) string {
	var v any
	if json.Unmarshal(s[member], &v) != nil {
		return ""
	}
	return scalar(v)
}

// instances returns the instance itself, if the state says so, and the members that it knows.
func (s state) instances() []map[string]any {
	if list := entries(s["members"]); len(list) > 0 {
		return list
	}
	var table map[string]json.RawMessage
	if json.Unmarshal(s["members"], &table) != nil {
		return nil
	}
	var self map[string]any
	list := entries(table["members"])
	if json.Unmarshal(table["self"], &self) != nil || slices.ContainsFunc(list, func(m map[string]any) bool {
		return m["incarnation"] == self["incarnation"]
	}) {
		return list
	}
	return append([]map[string]any{self}, list...)
}

// maxState bounds the state of an instance in bytes.
const maxState = 64 << 20

// httpStates reads states over HTTP.
type httpStates struct{}

// State reads the state from the instance's admin address.
func (httpStates) State(ctx context.Context, admin string) (state, error) {
	if _, err := netip.ParseAddrPort(admin); err != nil {
		return nil, eris.Errorf("admin address must be IP:port, is %q", admin)
	}
	c := fasthttp.Client{MaxResponseBodySize: maxState, MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + admin + "/state")
	if err := c.DoDeadline(req, resp, deadline(ctx)); err != nil {
		return nil, eris.Wrapf(err, "read state of %s", admin)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return nil, eris.Errorf("read state of %s: status %d", admin, code)
	}
	var s state
	err := json.Unmarshal(resp.Body(), &s)
	return s, eris.Wrapf(err, "decode state of %s", admin)
}

// stateTimeout bounds the reading of a state when the command has no deadline.
const stateTimeout = 5 * time.Second

func deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(stateTimeout)
}

// errNoAdmin is returned where a state is needed and no instance is known.
var errNoAdmin = errors.New("no admin address; use --admin ADDRESS or the settings file")

// state reads the state of the instance that the settings name.
func (e *env) state(ctx context.Context) (state, error) {
	if e.cfg.Admin == "" {
		return nil, errNoAdmin
	}
	return e.states.State(ctx, e.cfg.Admin)
}
