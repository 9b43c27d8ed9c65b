package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/mustardseam/mustardseam/measure/scenario"
)

type listCommand struct{}

// Run prints one line per scenario, with its name and description.
func (listCommand) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, s := range scenario.All() {
		fmt.Fprintf(w, "%s\t%s\n", s.Name, s.Description)
	}
	return w.Flush()
}
