package settings

// The formats of log lines.
const (
	JSON    = "json"
	Console = "console"
)

// Log says which events are logged and how.
type Log struct {
	Level  string `json:"level"  yaml:"level"` // One of debug, info, warn, error.
	Format string `json:"format" yaml:"format"`
}
