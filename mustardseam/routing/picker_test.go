package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// newTestPicker returns a picker with n equal servers that alternate between two data centres.
func newTestPicker(n int) (*Picker, []*Node) {
	p := New(1)
	nodes := make([]*Node, n)
	for i := range nodes {
		nodes[i] = &Node{
			Name: fmt.Sprint("s", i), DataCentre: fmt.Sprint("d", i%2), Version: "v1",
			Room: 8, PrefillSpeed: 8000, BaseLatency: 20 * time.Millisecond,
		}
		p.Add(nodes[i])
	}
	return p, nodes
}

func newRequest(prompt, blocks int) Request {
	r := Request{Version: "v1", DataCentre: "d0", PromptTokens: prompt}
	for i := range blocks {
		r.Prefix = append(r.Prefix, uint64(prompt)<<32+uint64(i)+1)
	}
	return r
}

// TestPickCriteria guards against picks that ignore room, version, data centre, speed, cache or the servers to avoid.
func TestPickCriteria(t *testing.T) {
	tests := []struct {
		name string
		set  func(p *Picker, nodes []*Node, r *Request)
		want string
	}{
		{"only one with room", func(p *Picker, nodes []*Node, _ *Request) {
			for _, n := range nodes[:len(nodes)-1] {
				n.Room = 0
				p.Update(n)
			}
		}, "s3"},
		{"no such version", func(_ *Picker, _ []*Node, r *Request) { r.Version = "v2" }, ""},
		{"same data centre", func(_ *Picker, nodes []*Node, _ *Request) { nodes[0].Load = 0.5 }, "s2"},
		{"other data centre when much faster", func(_ *Picker, nodes []*Node, _ *Request) {
			nodes[0].Slowness, nodes[2].Slowness, nodes[3].Slowness = 3, 3, 3
		}, "s1"},
		{"prefix", func(p *Picker, nodes []*Node, r *Request) {
			p.RecordGrant(start.Add(-time.Minute), nodes[3], 4000, 0, r.Prefix)
		}, "s3"},
		{"load against prefix", func(p *Picker, nodes []*Node, r *Request) {
			p.RecordGrant(start, nodes[3], 40000, 0, r.Prefix)
			nodes[0].Load = 0.1
		}, "s2"},
		{"evicted prefix", func(p *Picker, nodes []*Node, r *Request) {
			p.RecordGrant(start.Add(-time.Minute), nodes[3], 4000, 0, r.Prefix)
			for _, b := range r.Prefix {
				p.BlockEvicted(nodes[3], b)
			}
			nodes[0].Load = 0.1
		}, "s2"},
		{"lost cache", func(p *Picker, nodes []*Node, r *Request) {
			p.RecordGrant(start.Add(-time.Minute), nodes[3], 4000, 0, r.Prefix)
			p.ForgetCache(nodes[3])
			nodes[0].Load = 0.1
		}, "s2"},
		{"avoid", func(_ *Picker, nodes []*Node, r *Request) {
			nodes[3].Load = 1
			r.Avoid = []string{"s0", "s2"}
		}, "s1"},
		{"avoid all", func(_ *Picker, nodes []*Node, r *Request) {
			nodes[0].Load = 0.1
			r.Avoid = []string{"s0", "s1", "s2", "s3"}
		}, "s2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, nodes := newTestPicker(4)
			r := newRequest(4000, 250)
			test.set(p, nodes, &r)
			n, _ := p.Pick(start, r)
			name := ""
			if n != nil {
				name = n.Name
			}
			assert.Equal(t, name, test.want)
		})
	}
}

// TestPrefixMatchesAcrossLengths guards against an index in which prompts of different lengths share no positions.
func TestPrefixMatchesAcrossLengths(t *testing.T) {
	r := newRequest(16000, 1000)
	for _, n := range []int{1, 3, 9, 70, 250, 513, 900} {
		p, nodes := newTestPicker(40)
		p.RecordGrant(start.Add(-time.Minute), nodes[8], 16000, 0, r.Prefix)
		short := Request{Version: "v1", DataCentre: "d0", PromptTokens: 160000, Prefix: r.Prefix[:n]}
		got, cached := p.Pick(start, short)
		assert.Equal(t, got.Name, "s8")
		assert.Assert(t, cached >= 160000/2 && cached <= 160000, "%d blocks: %d tokens", n, cached)
	}
}

// TestBurstIsSpread guards against a burst that is sent to the few servers that looked best at its start.
func TestBurstIsSpread(t *testing.T) {
	p, nodes := newTestPicker(100)
	nodes[0].Load, nodes[1].Load = -1, -1
	got := map[string]int{}
	for range 400 {
		n, _ := p.Pick(start, newRequest(1000, 0))
		p.RecordGrant(start, n, 1000, 0, nil)
		got[n.Name]++
	}
	for name, n := range got {
		assert.Assert(t, n <= 16, "%s got %d of 400 requests", name, n)
	}
}
