package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestConfigNeverGoesBack guards against a configuration that an older word replaces.
func TestConfigNeverGoesBack(t *testing.T) {
	v := NewView().With(Change{Revision: 9, Config: NewConfig(7, nil, nil, nil, Limits{})})
	v = v.With(Change{Revision: 8, Config: NewConfig(5, nil, nil, nil, Limits{})})
	assert.Equal(t, v.Config.Version, int64(7))
	assert.Equal(t, v.Revision, int64(9))
}

// TestServers guards against backend servers that get work after they have left, and against ones that are lost because
// their entries ran out while the store was away.
func TestServers(t *testing.T) {
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
		{"gone", func(v *View) *View { return v.With(Change{Gone: "s", Time: start}) }, 0, 0},
		{"lapsed", func(v *View) *View { return v.With(Change{Gone: "s", Lapse: true, Time: start}) }, lapse - 1, 1},
		{"lapsed for long", func(v *View) *View { return v.With(Change{Gone: "s", Lapse: true, Time: start}) }, lapse, 0},
		{"back", func(v *View) *View {
			return add(v.With(Change{Gone: "s", Lapse: true, Time: start}), Server{ID: "s"})
		}, time.Hour, 1},
		{"draining and lapsed", func(v *View) *View {
			return add(v, Server{ID: "s", Draining: true}).With(Change{Gone: "s", Lapse: true, Time: start})
		}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := test.view(add(NewView(), Server{ID: "s"})).WithoutLapsed(start.Add(test.at))
			assert.Equal(t, len(v.Of("pool")), test.want)
		})
	}
}

// TestManyChanges guards against a copy of the whole view for each of many changes that arrive together: at the start of a
// fleet with 3,000 backend servers an instance took more than a second of processor time for them.
func TestManyChanges(t *testing.T) {
	const servers = 3000
	var changes []Change
	for n := range servers {
		id := fmt.Sprintf("s%d", n)
		changes = append(changes, Change{Server: &Server{ID: id, Service: "pool"}, Revision: int64(n)})
		if n%3 == 0 {
			changes = append(changes, Change{Gone: id})
		}
	}
	v := NewView().With(changes...)
	assert.Equal(t, len(v.Of("pool")), servers*2/3)
	allocations := testing.AllocsPerRun(1, func() { v.With(changes...) })
	assert.Assert(t, allocations < 3*servers, "%.0f allocations", allocations)
	one := NewView()
	for _, c := range changes {
		one = one.With(c)
	}
	assert.DeepEqual(t, one.Servers, v.Servers)
}

// TestDrainingStays guards against an old word that makes a leaving backend server look ready, and lets a new incarnation
// under the same id be ready.
func TestDrainingStays(t *testing.T) {
	v := NewView().With(Change{Server: &Server{ID: "s", Draining: true, Born: 1}})
	v = v.With(Change{Server: &Server{ID: "s", Born: 1}})
	assert.Assert(t, v.Servers["s"].Draining)
	v = v.With(Change{Server: &Server{ID: "s", Born: 2}})
	assert.Assert(t, !v.Servers["s"].Draining)
}

// TestLeaving guards against a backend server that said that it leaves and looks ready again because its entry was written
// again, came back after an outage of the store or arrived late; another incarnation under its id starts afresh.
func TestLeaving(t *testing.T) {
	id := Incarnation{ID: "s", Born: 1}
	listed := &Server{ID: "s", Service: "pool", Born: 1}
	tests := []struct {
		name    string
		changes []Change
		want    bool
	}{
		{"listed", []Change{{Server: listed}, {Leaving: &id}}, true},
		{"written again", []Change{{Server: listed}, {Leaving: &id}, {Server: listed}}, true},
		{"came back", []Change{{Server: listed}, {Leaving: &id}, {Gone: "s"}, {Server: listed}}, true},
		{"listed later", []Change{{Leaving: &id}, {Server: listed}}, true},
		{"started again", []Change{{Server: listed}, {Leaving: &id}, {Server: &Server{ID: "s", Service: "pool", Born: 2}}}, false},
		{"of an earlier run", []Change{{Server: &Server{ID: "s", Service: "pool", Born: 2}}, {Leaving: &id}}, false},
		{"another one at the address", []Change{
			{Server: &Server{ID: "s", Address: "10.0.0.1:80", Born: 1}},
			{Leaving: &id},
			{Gone: "s"},
			{Server: &Server{ID: "t", Address: "10.0.0.1:80", Born: 1}},
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

// TestLeavingForgotten guards against a record of leaving backend servers that grows for ever.
func TestLeavingForgotten(t *testing.T) {
	v := NewView()
	for n := range 1000 {
		v = v.With(Change{Leaving: &Incarnation{ID: "s", Born: int64(n)}, Time: start.Add(time.Duration(n) * time.Minute)})
	}
	assert.Assert(t, len(v.Leaving) <= 11, "%d kept", len(v.Leaving))
}

// TestRoute guards against requests on the wrong route.
func TestRoute(t *testing.T) {
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
