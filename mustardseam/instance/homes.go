package instance

import (
	"github.com/mustardseam/mustardseam/mustardseam/event"
)

// configureHomes creates, configures and closes homes to match the pools of the current configuration.
func (i *Instance) configureHomes() {
	i.homesMu.Lock()
	defer i.homesMu.Unlock()
	c := i.holder.Current()
	old := *i.homes.Load()
	next := map[string]*home{}
	for _, p := range c.Document.Pools {
		if h := old[p.Name]; h != nil {
			h.configure(c)
			next[p.Name] = h
			continue
		}
		next[p.Name] = newHome(i, p, c)
	}
	i.homes.Store(&next)
	for name, h := range old {
		if next[name] == nil {
			h.close()
		}
	}
}

// storeAnswered records the result of a call to the store and logs when the store becomes available or unavailable.
func (i *Instance) storeAnswered(err error) {
	if err == nil {
		i.recordContact()
	}
	if down := err != nil; i.storeDown.Swap(down) != down {
		if down {
			event.StoreUnavailable.Log(&i.log).Err(err).Send()
		} else {
			event.StoreAvailable.Log(&i.log).Send()
		}
	}
}
