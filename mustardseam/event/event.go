package event

import "github.com/rs/zerolog"

// Event is a type of log line.
type Event struct {
	Number  int    // Identifies the event; never changes its meaning.
	Name    string // Name of the event in kebab-case.
	Level   zerolog.Level
	Message string // Message of the log line.
}

// Log starts a log line for the event. The caller adds fields and calls Send to write the line.
func (e Event) Log(logger *zerolog.Logger) *Line {
	return &Line{entry: logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name), message: e.Message}
}
