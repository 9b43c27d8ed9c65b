package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
)

// state is the response of an instance to GET /state. Members are kept as raw JSON, because instances of different
// versions have different members and the tool prints all of them.
type state map[string]json.RawMessage

// text returns the table cell for a member, "" when the member is missing or null. Lists and objects are shown by their
// size.
func (s state) text(member string) string {
	var v any
	if json.Unmarshal(s[member], &v) != nil {
		return ""
	}
	return scalarText(v)
}

// instances returns the known members of the cluster, with the instance itself first when the state has it as self and
// does not list it.
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

// maxStateBytes limits the size of an instance's state response: 64 MiB.
const maxStateBytes = 64 << 20

// httpStateReader reads the state of instances over HTTP.
type httpStateReader struct{}

// State requests the state from the admin address of an instance.
func (httpStateReader) State(ctx context.Context, admin string) (state, error) {
	if _, err := netip.ParseAddrPort(admin); err != nil {
		return nil, eris.Errorf("admin address must be IP:port, is %q", admin)
	}
	c := fasthttp.Client{
		MaxResponseBodySize: maxStateBytes, MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			return rfc9112.Checked(net.DialTimeout("tcp", addr, stateTimeout))
		},
	}
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

// stateTimeout limits a state request when the context has no deadline.
const stateTimeout = 5 * time.Second

func deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(stateTimeout)
}

// errNoAdmin is returned when a command needs the state of an instance and no admin address is configured.
var errNoAdmin = errors.New("no admin address; use --admin ADDRESS or the settings file")

// state reads the state of the instance at the configured admin address.
func (e *env) state(ctx context.Context) (state, error) {
	if e.cfg.Admin == "" {
		return nil, errNoAdmin
	}
	return e.states.State(ctx, e.cfg.Admin)
}
