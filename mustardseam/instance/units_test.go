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

// TestWriteInterval guards against journals that together write more often than the store takes, and against keyed
// requests that wait longer than a small site needs.
func TestWriteInterval(t *testing.T) {
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

// TestPollInterval guards against a home whose polls grow with its servers beyond its share of a processor, and against
// load reports that are older than a small site needs.
func TestPollInterval(t *testing.T) {
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

// TestReplayIsBounded guards against answers kept for a replay that grow beyond their memory, and against the loss of the
// newest ones.
func TestReplayIsBounded(t *testing.T) {
	r := newReplay(1000)
	for n := range 50 {
		r.put(fmt.Sprint(n), stored{Status: 200, Body: make([]byte, 100)})
		assert.Assert(t, r.size <= 1000)
	}
	_, ok := r.get("49")
	assert.Assert(t, ok)
	_, ok = r.get("0")
	assert.Assert(t, !ok)
	r.put("large", stored{Body: make([]byte, 2000)})
	_, ok = r.get("large")
	assert.Assert(t, !ok)
}

// TestStreamedBody guards against a request that reaches the engine without streaming, without usage, or with other
// members than the caller sent.
func TestStreamedBody(t *testing.T) {
	b, err := streamed([]byte(`{"model":"m","stream":false,"seed":7,"stop":["a"]}`))
	assert.NilError(t, err)
	var m map[string]any
	assert.NilError(t, json.Unmarshal(b, &m))
	assert.DeepEqual(t, m, map[string]any{
		"model": "m", "seed": 7.0, "stop": []any{"a"}, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
	})
	_, err = streamed([]byte(`[]`))
	assert.ErrorContains(t, err, "rewrite request body")
}

// TestEvidence guards against a version that is judged by what it did not do.
func TestEvidence(t *testing.T) {
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
		assert.Equal(t, evidence(test.outcome), test.want, test.name)
	}
}
