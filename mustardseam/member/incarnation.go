package member

import (
	"fmt"
	"time"
)

// NewIncarnation returns the name of one start of an instance's process. The incarnations of an id sort by start
// time, so that a table can tell a newer incarnation from late entries of an older one.
func NewIncarnation(id string, start time.Time, random uint32) string {
	return fmt.Sprintf("%s.%013x.%08x", id, uint64(start.UnixMicro()), random)
}
