package event

import "github.com/rs/zerolog"

// Line is a log line under construction.
type Line struct {
	entry   *zerolog.Event
	message string
}

// Str adds a string field.
func (l *Line) Str(key, value string) *Line {
	l.entry.Str(key, value)
	return l
}

// Uint64 adds an unsigned integer field.
func (l *Line) Uint64(key string, value uint64) *Line {
	l.entry.Uint64(key, value)
	return l
}

// Int adds an integer field.
func (l *Line) Int(key string, value int) *Line {
	l.entry.Int(key, value)
	return l
}

// Float64 adds a number field.
func (l *Line) Float64(key string, value float64) *Line {
	l.entry.Float64(key, value)
	return l
}

// Int64 adds an integer field.
func (l *Line) Int64(key string, value int64) *Line {
	l.entry.Int64(key, value)
	return l
}

// Err adds an error. The error must name the operation that failed and the peer.
func (l *Line) Err(err error) *Line {
	l.entry.Err(err)
	return l
}

// Send writes the line.
func (l *Line) Send() { l.entry.Msg(l.message) }
