package main

import (
	"cmp"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/operator/strict"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// settings holds the global flags, which can also be set in a YAML file.
type settings struct {
	Store   []string      `help:"Address of the store as IP:port; may be repeated." yaml:"store" placeholder:"ADDRESS"`
	Prefix  string        `help:"Prefix of the system's keys (mustardseam/)." yaml:"prefix"`
	Admin   string        `help:"Admin address of an instance as IP:port." yaml:"admin" placeholder:"ADDRESS"`
	Timeout time.Duration `help:"Total time of a command (10s)." yaml:"timeout"`
	Output  string        `help:"Output format, table or json (table)." yaml:"output" short:"o" enum:",table,json" default:""`
}

// resolve sets fields that the command line leaves empty from the settings file at path, if any, and then from the
// defaults.
func (s settings) resolve(path string) (settings, error) {
	file, err := readSettings(path)
	if err != nil {
		return settings{}, err
	}
	defaults := settings{Prefix: "mustardseam/", Timeout: 10 * time.Second, Output: outputTable}
	for _, from := range []settings{file, defaults} {
		if len(s.Store) == 0 {
			s.Store = from.Store
		}
		s.Prefix = cmp.Or(s.Prefix, from.Prefix)
		s.Admin = cmp.Or(s.Admin, from.Admin)
		s.Timeout = cmp.Or(s.Timeout, from.Timeout)
		s.Output = cmp.Or(s.Output, from.Output)
	}
	return s, nil
}

func readSettings(path string) (settings, error) {
	var s settings
	if path == "" {
		return s, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "read settings")
	}
	decoder := strict.Decode(b, &s)
	if s.Output != "" && s.Output != outputTable && s.Output != outputJSON {
		decoder.Faults = append(decoder.Faults, strict.FieldError{
			Path: "output", Line: decoder.Lines["output"], Reason: "must be table or json",
		})
	}
	if len(decoder.Faults) > 0 {
		return s, decoder.Faults
	}
	return s, nil
}
