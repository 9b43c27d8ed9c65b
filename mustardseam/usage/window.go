package usage

import "time"

// Config holds the times of usage windows.
type Config struct {
	Window time.Duration // Length of a window.
	Due    time.Duration // Time from the end of a window until its report is due.
}

// Number returns the number of the window that contains a time, counted from the start of 1970.
func (c Config) Number(t time.Time) int64 { return t.UnixNano() / int64(c.Window) }

// End returns the end of a window.
func (c Config) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.Window)) }

const (
	// retainedWindows is the number of windows whose counts and seals are kept. Reports of older ones are of no use.
	retainedWindows = 12
	// sealableWindows is the number of ended windows that may still be sealed. It is less than retainedWindows, so that a window
	// whose seal was forgotten is not sealed again.
	sealableWindows = 8
)
