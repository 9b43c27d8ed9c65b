// Command measure runs the scheduling logic of mustardseam in virtual time and compares the results with the targets.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kong"
)

// errBoundViolated is returned by the run command when at least one figure violates its bound.
var errBoundViolated = errors.New("a bound does not hold")

type cli struct {
	List listCommand `cmd:"" help:"List the scenarios."`
	Run  runCommand  `cmd:"" help:"Run a scenario; the exit status is 1 when a bound does not hold."`
}

func main() {
	var commands cli
	parser, err := kong.New(&commands, kong.Name("measure"), kong.Description("Measures the scheduler's decisions in virtual time."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, err := parser.Parse(normaliseLongFlags(os.Args[1:]))
	parser.FatalIfErrorf(err)
	err = ctx.Run()
	if errors.Is(err, errBoundViolated) {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
	parser.FatalIfErrorf(err)
}

// longFlags lists the flags that are also accepted with a single leading dash.
var longFlags = []string{"seed", "baseline", "plot", "output"}

// normaliseLongFlags rewrites each of longFlags from -name to --name and leaves all other arguments unchanged.
func normaliseLongFlags(args []string) []string {
	out := slices.Clone(args)
	for i, a := range out {
		for _, name := range longFlags {
			if a == "-"+name || len(a) > len(name)+2 && a[:len(name)+2] == "-"+name+"=" {
				out[i] = "-" + a
			}
		}
	}
	return out
}
