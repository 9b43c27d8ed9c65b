package settings

// Formats of log lines.
const (
	JSON    = "json"
	Console = "console"
)

// Log configures which events are logged and in which format.
type Log struct {
	Level  string `json:"level"  yaml:"level"`  // Minimum level: debug, info, warn or error.
	Format string `json:"format" yaml:"format"` // JSON or Console.
}
