// Command measure drives the decision logic of mustardseam in virtual time and reports figures against the targets.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kong"
)

// errBound says that a figure does not keep to its bound.
var errBound = errors.New("a bound does not hold")

type commands struct {
	List list `cmd:"" help:"List the scenarios."`
	Run  run  `cmd:"" help:"Run a scenario; the exit status is 1 when a bound does not hold."`
}

func main() {
	var c commands
	k, err := kong.New(&c, kong.Name("measure"), kong.Description("Measures the scheduler's decisions in virtual time."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, err := k.Parse(normalise(os.Args[1:]))
	k.FatalIfErrorf(err)
	err = ctx.Run()
	if errors.Is(err, errBound) {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
	k.FatalIfErrorf(err)
}

// longFlags may also be written with one dash.
var longFlags = []string{"seed", "baseline", "plot", "output"}

// normalise turns -seed into --seed, and so on, and leaves all other arguments as they are.
func normalise(args []string) []string {
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
