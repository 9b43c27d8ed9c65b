package member

import (
	"fmt"
	"time"
)

// NewIncarnation names one start of the process of an instance. Incarnations of one id sort by their start, so that a
// table can tell a newer one from late news of an older one.
func NewIncarnation(id string, start time.Time, random uint32) string {
	return fmt.Sprintf("%s.%013x.%08x", id, uint64(start.UnixMicro()), random)
}
