package settings

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/operator/strict"
)

// Format is the only valid value of the format member.
const Format = "mustardseam-settings/1"

// Settings configures an entry instance. Default and Parse fill in what a file omits.
type Settings struct {
	Format          string   `json:"format"                      yaml:"format"`
	ID              string   `json:"id"                          yaml:"id"` // Name of the instance; stable over restarts.
	DataCentre      string   `json:"data-centre"                 yaml:"data-centre"`
	Region          string   `json:"region"                      yaml:"region"`
	CallerAddress   string   `json:"caller-address"              yaml:"caller-address"` // IP:port of the server for callers.
	PeerAddress     string   `json:"peer-address"                yaml:"peer-address"`   // IP:port of the server for other instances, which must be able to reach it.
	AdminAddress    string   `json:"admin-address"               yaml:"admin-address"`  // IP:port of the server for operators.
	Store           Store    `json:"store"                       yaml:"store"`
	Platform        Platform `json:"platform"                    yaml:"platform"`
	PeerKey         Secret   `json:"peer-key"                    yaml:"peer-key"`                    // Key that authenticates instances to each other.
	PreviousPeerKey Secret   `json:"previous-peer-key,omitempty" yaml:"previous-peer-key,omitempty"` // Key that is still accepted while the peer key is being replaced; optional.
	Limits          Limits   `json:"limits"                      yaml:"limits"`
	// GracePeriod is how long a planned stop waits for running answers; it defaults to limits.request.
	GracePeriod time.Duration `json:"grace"  yaml:"grace"`
	Log         Log           `json:"log"    yaml:"log"`
	Replay      Replay        `json:"replay" yaml:"replay"`
}

// Default returns the settings of an empty file, in which addresses, names and the peer key are missing.
func Default() Settings {
	return Settings{
		Format:   Format,
		Store:    Store{Prefix: "mustardseam/", Timeout: time.Second},
		Platform: Platform{PollInterval: time.Second},
		Limits:   defaultLimits(),
		Log:      Log{Level: "info", Format: JSON},
		Replay:   Replay{MaxBytes: 8 << 20},
	}
}

// Load reads and checks a file. The error is FieldErrors unless the file cannot be read.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse reads and checks a YAML document and the secrets that it refers to. The error is FieldErrors.
func Parse(b []byte) (Settings, error) {
	s := Default()
	decoder := strict.Decode(b, &s)
	if decoder.Unusable() {
		return Settings{}, decoder.Faults
	}
	if s.GracePeriod == 0 {
		s.GracePeriod = s.Limits.RequestTimeout
	}
	c := newChecker(decoder)
	c.checkSettings(&s)
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b FieldError) int { return a.Line - b.Line })
		return Settings{}, c.faults
	}
	return s, nil
}
