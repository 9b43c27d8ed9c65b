package duty

import "time"

// Right is the permission to act on a duty. It is immutable.
type Right struct {
	Holder string        // Name of the instance that holds the duty.
	Token  int64         // Fencing token; it rises whenever the holder changes.
	Until  time.Duration // End of the permission, on the boot clock.
}

// IsValid reports whether the right is in force at a time of the boot clock.
func (r Right) IsValid(now time.Duration) bool { return now < r.Until }
