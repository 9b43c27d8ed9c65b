package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// logChange writes what the instance has learned.
func (i *Instance) logChange(item store.Item, c fleet.Change) {
	if c.Quotas != nil {
		return // Written every second or so; the dump shows what quotas hold.
	}
	l := event.Believed.On(i.log()).Str("key", item.Key).Int64("revision", item.Revision)
	switch {
	case c.Config != nil:
		l.Int64("version", c.Config.Version).Int("routes", c.Config.Routes())
	case c.Server != nil:
		state := "ready"
		if c.Server.Draining {
			state = "draining"
		}
		l.Str("server", c.Server.ID).Str("service", c.Server.Service).Str("version", c.Server.Version).
			Str("data-centre", c.Server.DataCentre).Str("state", state).Int64("born", c.Server.Born)
	case c.Gone != "":
		state := "gone"
		if c.Lapse {
			state = "lapsed"
		}
		l.Str("server", c.Gone).Str("state", state)
	case c.Progress != nil:
		l.Str("service", c.Service).Str("target", c.Progress.Target).Str("state", string(c.Progress.State))
	}
	l.Send()
}

// leaving takes in that a backend server said that it leaves. It gets nothing from then on, whatever the store says.
func (i *Instance) leaving(ids ...fleet.Incarnation) {
	known := i.view.Load().Leaving
	ids = slices.DeleteFunc(ids, func(id fleet.Incarnation) bool { _, ok := known[id]; return ok })
	if len(ids) == 0 {
		return
	}
	i.changing.Lock()
	defer i.changing.Unlock()
	var changes []fleet.Change
	now := time.Now()
	for _, id := range ids {
		changes = append(changes, fleet.Change{Leaving: &id, Time: now})
		event.Believed.On(i.log()).Str("server", id.ID).Int64("born", id.Born).Str("state", "leaving").Send()
	}
	i.view.Store(i.view.Load().With(changes...))
}

// toldLeaving returns the backend servers of which the other instances are to know that they leave.
func (i *Instance) toldLeaving() []fleet.Incarnation {
	v := i.view.Load()
	var ids []fleet.Incarnation
	for id := range v.Leaving {
		if s := v.Servers[id.ID]; s != nil && s.Incarnation() == id {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget removes an instance from what this one believes, until the store or another instance names it again.
func (i *Instance) Forget(node string) {
	i.changing.Lock()
	defer i.changing.Unlock()
	i.view.Store(i.view.Load().With(fleet.Change{Node: &fleet.Node{Name: node}, Removed: true}))
}

// learn takes in how to reach an instance that reported, which the store may not have told yet.
func (i *Instance) learn(n fleet.Node) {
	if n.Name == "" || i.view.Load().Nodes[n.Name] == n {
		return
	}
	i.changing.Lock()
	defer i.changing.Unlock()
	i.view.Store(i.view.Load().With(fleet.Change{Node: &n}))
	event.Believed.On(i.log()).Str("instance-name", n.Name).Str("address", n.Address).Send()
}
