package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// Secret refers to a value in a file or an environment variable. Formatting or encoding it yields only the reference.
type Secret struct {
	File string `yaml:"file,omitempty"`
	Env  string `yaml:"env,omitempty"`

	value string
}

// NewSecret returns a secret with the given value and without a reference, for tests and embedding programs.
func NewSecret(value string) Secret { return Secret{value: value} }

// Value returns the value of the secret.
func (s Secret) Value() string { return s.value }

// IsZero reports whether the secret has neither a reference nor a value.
func (s Secret) IsZero() bool { return s == Secret{} }

// String returns the reference.
func (s Secret) String() string {
	switch {
	case s.File != "":
		return "secret in file " + s.File
	case s.Env != "":
		return "secret in environment variable " + s.Env
	default:
		return "secret"
	}
}

// Format prints the reference for every verb, because %d and %#v would print the fields.
func (s Secret) Format(w fmt.State, _ rune) { _, _ = fmt.Fprint(w, s.String()) }

// MarshalYAML returns the reference.
func (s Secret) MarshalYAML() (any, error) { return s.reference(), nil }

// MarshalJSON returns the reference.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.reference()) }

func (s Secret) reference() map[string]string {
	switch {
	case s.File != "":
		return map[string]string{"file": s.File}
	case s.Env != "":
		return map[string]string{"env": s.Env}
	default:
		return map[string]string{}
	}
}

// load reads the value. A line break at the end of a file is not part of it.
func (s *Secret) load() error {
	if s.File == "" {
		s.value = os.Getenv(s.Env)
		return nil
	}
	b, err := os.ReadFile(s.File)
	if err != nil {
		return eris.Wrap(err, "read secret")
	}
	s.value = string(bytes.TrimRight(b, "\r\n"))
	return nil
}
