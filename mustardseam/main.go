// Command mustardseam runs an entry instance of the request scheduler.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commandLine defines the commands.
type commandLine struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry instance until it is told to stop."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and say what is wrong, where, and what is allowed."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("mustardseam"), kong.Description("Request scheduler for unlike model engines."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "mustardseam:", err)
		os.Exit(1)
	}
}
