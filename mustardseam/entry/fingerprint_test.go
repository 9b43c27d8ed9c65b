package entry

import (
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
)

// TestFingerprint guards against a request that is not known again in its next attempt, and against other requests that are
// taken for it.
func TestFingerprint(t *testing.T) {
	newRequest := func(host, uri, team, key, body string) *request {
		h := &fasthttp.RequestHeader{}
		h.SetMethod("POST")
		h.SetHost(host)
		h.SetRequestURI(uri)
		req := &request{exchange: &http1.Exchange{Request: http1.Request{Header: h, Body: []byte(body)}}, meta: RequestMeta{APIKey: key}}
		if team != "" {
			req.team = &fleet.Team{Name: team}
		}
		return req
	}
	first := newRequest("h", "/a?x=1", "team", "key", "body").fingerprint()
	tests := []struct {
		name string
		req  *request
		same bool
	}{
		{"next attempt", newRequest("h", "/a?x=1", "team", "key", "body"), true},
		{"another key of the team", newRequest("h", "/a?x=1", "team", "other", "body"), true},
		{"another host", newRequest("i", "/a?x=1", "team", "key", "body"), false},
		{"another query", newRequest("h", "/a?x=2", "team", "key", "body"), false},
		{"another caller", newRequest("h", "/a?x=1", "other", "key", "body"), false},
		{"no team", newRequest("h", "/a?x=1", "", "key", "body"), false},
		{"another body", newRequest("h", "/a?x=1", "team", "key", "bodx"), false},
	}
	for _, test := range tests {
		assert.Equal(t, test.req.fingerprint() == first, test.same, test.name)
	}
}
