package event

import "github.com/rs/zerolog"

// Event is a kind of log line with a number that never changes.
type Event struct {
	Number int
	Name   string // In kebab-case.
	Level  zerolog.Level
	Text   string // Message of the log line.
}

// On begins a log line of the event; the caller adds fields and ends it with Send.
func (e Event) On(log *zerolog.Logger) *Line {
	return &Line{e: log.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name), text: e.Text}
}
