package entry

import "github.com/mustardseam/mustardseam/mustardseam/event"

// Reload applies changed bounds; requests in progress are not affected.
func (i *Instance) Reload(b Bounds) {
	i.bounds.Store(&b)
	i.scheduler.configure(b)
	event.SettingsReloaded.Log(i.log()).Int64("grace-ms", b.GracePeriod.Milliseconds()).Send()
}

// ReloadFailed logs that changed settings cannot be used; the previous ones stay in force.
func (i *Instance) ReloadFailed(err error) { event.SettingsReloadFailed.Log(i.log()).Err(err).Send() }
