package event

import "github.com/rs/zerolog"

// Line is a log line under construction.
type Line struct {
	e    *zerolog.Event
	text string
}

// Str adds a text field.
func (l *Line) Str(key, value string) *Line {
	l.e.Str(key, value)
	return l
}

// Uint64 adds a number.
func (l *Line) Uint64(key string, value uint64) *Line {
	l.e.Uint64(key, value)
	return l
}

// Int adds a number.
func (l *Line) Int(key string, value int) *Line {
	l.e.Int(key, value)
	return l
}

// Int64 adds a number.
func (l *Line) Int64(key string, value int64) *Line {
	l.e.Int64(key, value)
	return l
}

// Err adds an error with the step and the peer at which it arose.
func (l *Line) Err(err error) *Line {
	l.e.Err(err)
	return l
}

// Send writes the line.
func (l *Line) Send() { l.e.Msg(l.text) }
