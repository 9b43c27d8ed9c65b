package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/duty"
)

// dutyRight returns the permission of this instance to act on a duty; ok is false while it must not act.
func (i *Instance) dutyRight(_ time.Time, name string) (right duty.Right, ok bool) {
	if !i.cfg.Duties.Has(name) {
		return duty.Right{}, false
	}
	return duty.Right{}, false
}
