package main

import (
	"fmt"

	"github.com/mustardseam/mustardseam/mustardseam/settings"
)

// checkCommand checks a settings file.
type checkCommand struct {
	File string `arg:"" help:"Settings file." type:"existingfile"`
}

// Run reports that the file is valid or returns its faults.
func (c checkCommand) Run() error {
	s, err := settings.Load(c.File)
	if err != nil {
		return fmt.Errorf("%s is not valid:\n%w", c.File, err)
	}
	fmt.Printf("%s is valid: instance %s in data centre %s\n", c.File, s.ID, s.DataCentre)
	return nil
}
