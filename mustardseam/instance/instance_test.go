package instance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// TestWriteIntervalGrowsWithHomes checks that the write interval grows with the number of homes, so that their journals
// together do not overload the store, and that it stays short at a small site, where keyed requests wait for it.
func TestWriteIntervalGrowsWithHomes(t *testing.T) {
	tests := []struct {
		regions, pools int
		want           time.Duration
	}{
		{1, 2, 20 * time.Millisecond},
		{2, 5, 50 * time.Millisecond},
		{7, 4, 100 * time.Millisecond},
	}
	for _, test := range tests {
		d := operator.New()
		for n := range test.regions {
			d = d.WithDataCentre(operator.DataCentre{Name: fmt.Sprint("dc", n), Region: fmt.Sprint("r", n)})
		}
		for n := range test.pools {
			d = d.WithPool(operator.Pool{Name: fmt.Sprint("p", n)})
		}
		var i Instance
		i.holder.Apply(revision.NewConfig(1, "", nil, d))
		assert.Equal(t, i.writeInterval(), test.want)
	}
}

// TestPollIntervalGrowsWithServers checks that the poll interval grows with the number of servers, so that polling
// stays within the home's share of a processor, and that it stays short at a small site, so that load reports are
// recent.
func TestPollIntervalGrowsWithServers(t *testing.T) {
	tests := []struct {
		servers int
		want    time.Duration
	}{
		{0, 250 * time.Millisecond},
		{12, 250 * time.Millisecond},
		{86, 430 * time.Millisecond},
		{2400, time.Second},
	}
	for _, test := range tests {
		assert.Equal(t, pollInterval(test.servers), test.want)
	}
}

// TestReplayIsBounded checks that stored answers stay within the memory limit and that the newest answer is not
// evicted.
func TestReplayIsBounded(t *testing.T) {
	r := newReplay(1000)
	for n := range 50 {
		r.put(fmt.Sprint(n), storedAnswer{Status: 200, Body: make([]byte, 100)})
		assert.Assert(t, r.size <= 1000)
	}
	_, ok := r.get("49")
	assert.Assert(t, ok)
	_, ok = r.get("0")
	assert.Assert(t, !ok)
	r.put("large", storedAnswer{Body: make([]byte, 2000)})
	_, ok = r.get("large")
	assert.Assert(t, !ok)
}

// TestRequestBodyEnablesStreaming checks that a rewritten request enables streaming and usage and keeps all other
// members.
func TestRequestBodyEnablesStreaming(t *testing.T) {
	b, err := withStreaming([]byte(`{"model":"m","stream":false,"seed":7,"stop":["a"]}`))
	assert.NilError(t, err)
	var m map[string]any
	assert.NilError(t, json.Unmarshal(b, &m))
	assert.DeepEqual(t, m, map[string]any{
		"model": "m", "seed": 7.0, "stop": []any{"a"}, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
	})
	_, err = withStreaming([]byte(`[]`))
	assert.ErrorContains(t, err, "rewrite request body")
}

// TestOutcomeReflectsVersion checks that caller errors, cancellations and unused permits do not count against a
// version.
func TestOutcomeReflectsVersion(t *testing.T) {
	tests := []struct {
		name    string
		outcome pool.Outcome
		want    bool
	}{
		{"answered", pool.Outcome{Result: pool.OK, Status: 200}, true},
		{"failed", pool.Outcome{Result: pool.Failed, Status: 500}, true},
		{"refused the connection", pool.Outcome{Result: pool.NotRun}, true},
		{"permit not used", pool.Outcome{Result: pool.NotRun, PermitUnused: true}, false},
		{"caller went away", pool.Outcome{Result: pool.Cancelled}, false},
		{"caller's mistake", pool.Outcome{Result: pool.Failed, Status: 422}, false},
	}
	for _, test := range tests {
		assert.Equal(t, reflectsVersion(test.outcome), test.want, test.name)
	}
}
