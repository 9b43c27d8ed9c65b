package entry

import "github.com/mustardseam/mustardseam/mustardseam/event"

// Reload puts changed bounds into force; requests that are being answered go on.
func (i *Instance) Reload(b Bounds) {
	i.bounds.Store(&b)
	i.scheduler.configure(b)
	event.Reloaded.On(i.log()).Int64("grace-ms", b.Grace.Milliseconds()).Send()
}

// ReloadFailed records that changed settings cannot be used; the old ones stay in force.
func (i *Instance) ReloadFailed(err error) { event.ReloadFailed.On(i.log()).Err(err).Send() }
