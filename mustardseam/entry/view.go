package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// logChange logs a change of the view.
func (i *Instance) logChange(item store.Item, c fleet.Change) {
	if c.Quotas != nil || c.Crashes != nil {
		return // Saved too often for the log.
	}
	l := event.ViewChanged.Log(i.log()).Str("key", item.Key).Int64("revision", item.Revision)
	switch {
	case c.Config != nil:
		l.Int64("version", c.Config.Version).Int("routes", c.Config.Routes())
	case c.Server != nil:
		state := "ready"
		if c.Server.Draining {
			state = "draining"
		}
		l.Str("server", c.Server.ID).Str("service", c.Server.Service).Str("version", c.Server.Version).
			Str("data-centre", c.Server.DataCentre).Str("state", state).Int64("born", c.Server.StartMS)
	case c.RemovedServer != "":
		state := "gone"
		if c.MayReturn {
			state = "lapsed"
		}
		l.Str("server", c.RemovedServer).Str("state", state)
	case c.Progress != nil:
		l.Str("service", c.Service).Str("target", c.Progress.Target).Str("state", string(c.Progress.State))
	}
	l.Send()
}

// markLeaving records that backend servers have announced their shutdown in a response, unlike draining ones, which the store
// lists as such. They get no further requests, whatever the store says.
func (i *Instance) markLeaving(ids ...fleet.Incarnation) {
	leaving := i.view.Load().Leaving
	ids = slices.DeleteFunc(ids, func(id fleet.Incarnation) bool { _, ok := leaving[id]; return ok })
	if len(ids) == 0 {
		return
	}
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	var changes []fleet.Change
	now := time.Now()
	for _, id := range ids {
		changes = append(changes, fleet.Change{Leaving: &id, Time: now})
		event.ViewChanged.Log(i.log()).Str("server", id.ID).Int64("born", id.StartMS).Str("state", "leaving").Send()
	}
	i.view.Store(i.view.Load().With(changes...))
}

// leavingServers returns the backend servers that have announced their shutdown, for the other instances.
func (i *Instance) leavingServers() []fleet.Incarnation {
	v := i.view.Load()
	var ids []fleet.Incarnation
	for id := range v.Leaving {
		if s := v.Servers[id.ID]; s != nil && s.Incarnation() == id {
			ids = append(ids, id)
		}
	}
	return ids
}

// ForgetInstance removes an instance from the view until the store or another instance names it again.
func (i *Instance) ForgetInstance(name string) {
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	i.view.Store(i.view.Load().With(fleet.Change{Instance: &fleet.Instance{Name: name}, Removed: true}))
}

// learnInstance adds the address of an instance that reported, which the store may not have delivered yet.
func (i *Instance) learnInstance(instance fleet.Instance) {
	if instance.Name == "" || i.view.Load().Instances[instance.Name] == instance {
		return
	}
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	i.view.Store(i.view.Load().With(fleet.Change{Instance: &instance}))
	event.ViewChanged.Log(i.log()).Str("instance-name", instance.Name).Str("address", instance.Address).Send()
}
