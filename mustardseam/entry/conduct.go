package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

func (i *Instance) conduct(time.Time)                                           {}
func (i *Instance) judge([]hub.Sample)                                          {}
func (i *Instance) sample(*attempt, *Grant, bool, time.Duration, time.Duration) {}
