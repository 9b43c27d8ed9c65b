package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestConfigVersionNeverDecreases guards against a configuration that is replaced by an older version in a delayed message.
func TestConfigVersionNeverDecreases(t *testing.T) {
	v := NewView().With(Change{Revision: 9, Config: NewConfig(7, nil, nil, nil, Limits{})})
	v = v.With(Change{Revision: 8, Config: NewConfig(5, nil, nil, nil, Limits{})})
	assert.Equal(t, v.Config.Version, int64(7))
	assert.Equal(t, v.Revision, int64(9))
}

// TestRemovedAndLapsedServers guards against backend servers that get requests after they have left, and against live ones
// that are dropped because their entries expired while the store was unavailable.
func TestRemovedAndLapsedServers(t *testing.T) {
	add := func(v *View, s Server) *View {
		s.Service = "pool"
		return v.With(Change{Server: &s, Time: start})
	}
	tests := []struct {
		name string
		view func(v *View) *View
		at   time.Duration
		want int
	}{
		{"listed", func(v *View) *View { return v }, 0, 1},
		{"gone", func(v *View) *View { return v.With(Change{RemovedServer: "s", Time: start}) }, 0, 0},
		{"lapsed", func(v *View) *View {
			return v.With(Change{RemovedServer: "s", MayReturn: true, Time: start})
		}, lapsedGracePeriod - 1, 1},
		{"lapsed for long", func(v *View) *View {
			return v.With(Change{RemovedServer: "s", MayReturn: true, Time: start})
		}, lapsedGracePeriod, 0},
		{"back", func(v *View) *View {
			return add(v.With(Change{RemovedServer: "s", MayReturn: true, Time: start}), Server{ID: "s"})
		}, time.Hour, 1},
		{"draining and lapsed", func(v *View) *View {
			return add(v, Server{ID: "s", Draining: true}).With(Change{RemovedServer: "s", MayReturn: true, Time: start})
		}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := test.view(add(NewView(), Server{ID: "s"})).WithoutLapsed(start.Add(test.at))
			assert.Equal(t, len(v.ServersOf("pool")), test.want)
		})
	}
}

// TestManyChangesCopyMapsOnce guards against a copy of the whole view for each change in a batch: at the start of a fleet
// with 3,000 backend servers, that took an instance more than a second of processor time.
func TestManyChangesCopyMapsOnce(t *testing.T) {
	const servers = 3000
	var changes []Change
	for n := range servers {
		id := fmt.Sprintf("s%d", n)
		changes = append(changes, Change{Server: &Server{ID: id, Service: "pool"}, Revision: int64(n)})
		if n%3 == 0 {
			changes = append(changes, Change{RemovedServer: id})
		}
	}
	v := NewView().With(changes...)
	assert.Equal(t, len(v.ServersOf("pool")), servers*2/3)
	allocations := testing.AllocsPerRun(1, func() { v.With(changes...) })
	assert.Assert(t, allocations < 3*servers, "%.0f allocations", allocations)
	sequential := NewView()
	for _, c := range changes {
		sequential = sequential.With(c)
	}
	assert.DeepEqual(t, sequential.Servers, v.Servers)
}

// TestDrainingLastsForIncarnation guards against a delayed message that makes a draining backend server appear ready, and
// against a new incarnation with the same ID that is not ready.
func TestDrainingLastsForIncarnation(t *testing.T) {
	v := NewView().With(Change{Server: &Server{ID: "s", Draining: true, StartMS: 1}})
	v = v.With(Change{Server: &Server{ID: "s", StartMS: 1}})
	assert.Assert(t, v.Servers["s"].Draining)
	v = v.With(Change{Server: &Server{ID: "s", StartMS: 2}})
	assert.Assert(t, !v.Servers["s"].Draining)
}

// TestLeavingServerStaysDraining guards against a backend server that announced its shutdown and appears ready again because
// its entry was rewritten, came back after an outage of the store, or arrived late. Another incarnation with the same ID
// starts ready.
func TestLeavingServerStaysDraining(t *testing.T) {
	id := Incarnation{ID: "s", StartMS: 1}
	listed := &Server{ID: "s", Service: "pool", StartMS: 1}
	tests := []struct {
		name    string
		changes []Change
		want    bool
	}{
		{"listed", []Change{{Server: listed}, {Leaving: &id}}, true},
		{"written again", []Change{{Server: listed}, {Leaving: &id}, {Server: listed}}, true},
		{"came back", []Change{{Server: listed}, {Leaving: &id}, {RemovedServer: "s"}, {Server: listed}}, true},
		{"listed later", []Change{{Leaving: &id}, {Server: listed}}, true},
		{"started again", []Change{{Server: listed}, {Leaving: &id}, {Server: &Server{ID: "s", Service: "pool", StartMS: 2}}}, false},
		{"of an earlier run", []Change{{Server: &Server{ID: "s", Service: "pool", StartMS: 2}}, {Leaving: &id}}, false},
		{"another one at the address", []Change{
			{Server: &Server{ID: "s", Address: "10.0.0.1:80", StartMS: 1}},
			{Leaving: &id},
			{RemovedServer: "s"},
			{Server: &Server{ID: "t", Address: "10.0.0.1:80", StartMS: 1}},
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := NewView()
			for _, c := range test.changes {
				c.Time = start
				v = v.With(c)
			}
			for _, s := range v.Servers {
				assert.Equal(t, s.Draining, test.want)
			}
		})
	}
}

// TestLeavingRecordsExpire guards against records of leaving backend servers that accumulate without bound.
func TestLeavingRecordsExpire(t *testing.T) {
	v := NewView()
	for n := range 1000 {
		v = v.With(Change{Leaving: &Incarnation{ID: "s", StartMS: int64(n)}, Time: start.Add(time.Duration(n) * time.Minute)})
	}
	assert.Assert(t, len(v.Leaving) <= 11, "%d kept", len(v.Leaving))
}

// TestRouteMatchesLongestPrefix guards against requests that are matched to the wrong route.
func TestRouteMatchesLongestPrefix(t *testing.T) {
	c := NewConfig(1, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, nil, Limits{})
	tests := []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/yz", "short"},
		{"host", "B.example:80", "/x/y/z", "other"},
		{"query", "a.example", "/x?/x/y/", ""},
		{"no slash", "a.example", "/x", ""},
		{"unknown host", "c.example", "/x/", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if r := c.Route(test.host, test.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, test.want)
		})
	}
}
