// Command demo runs a whole site on loopback, drives a short mixed load and checks every guarantee.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/demo/cluster"
)

// options holds the command-line flags.
type options struct {
	Site    string        `help:"Layout: qasr or tokachi." enum:"qasr,tokachi" default:"qasr"`
	For     time.Duration `help:"Duration of the load; at least 10s." default:"12s"`
	Seed    uint64        `help:"Seed of the load." default:"1"`
	Output  string        `short:"o" help:"Format: table or json." enum:"table,json" default:"table"`
	Hold    bool          `help:"Stay up after the start, print addresses and a request to try."`
	Calm    bool          `help:"Without disturbances."`
	Verbose bool          `short:"v" help:"Print the log of the instances."`
}

// readyTimeout limits the start of the cluster; the first home of a pool waits 3 s before it grants permits.
const readyTimeout = 30 * time.Second

func main() {
	var o options
	parser := kong.Must(&o, kong.Name("demo"), kong.Description("Runs a whole site on loopback and checks every guarantee."))
	_, err := parser.Parse(normaliseFlags(os.Args[1:]))
	parser.FatalIfErrorf(err)
	violations, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// normaliseFlags adds a second dash to long flags that are written with one.
func normaliseFlags(args []string) []string {
	out := make([]string, len(args))
	for n, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		out[n] = a
	}
	return out
}

// run starts the cluster, runs the load and prints the report; it returns the number of violations.
func run(o options) (int, error) {
	if o.For < 10*time.Second {
		return 0, eris.New("-for must be at least 10s, so that every disturbance has its time")
	}
	site := cluster.Qasr()
	if o.Site == "tokachi" {
		site = cluster.Tokachi()
	}
	log := zerolog.Nop()
	if o.Verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger().Level(zerolog.InfoLevel)
	}
	c, err := cluster.New(cluster.Config{Site: site, Log: log})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.WaitReady(readyTimeout); err != nil {
		return 0, err
	}
	if o.Hold {
		waitWithAddresses(c, site)
		return 0, nil
	}
	r := newRun(c, site, o)
	r.runLoad()
	report := r.report()
	if err := report.print(os.Stdout, o.Output); err != nil {
		return 0, err
	}
	return report.violations(), nil
}

// waitWithAddresses prints the addresses of the site and an example request, and waits until the process is
// interrupted.
func waitWithAddresses(c *cluster.Cluster, site cluster.Site) {
	for n := range c.Instances() {
		i := c.Instance(n)
		fmt.Printf("instance %d: callers %s  admin %s\n", n+1, i.CallerAddress(), i.AdminAddress())
	}
	fmt.Printf("store: %s (prefix mustardseam/)\n\n", c.StoreAddress())
	fmt.Println("Try:")
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hello"}]}`, site.Model)
	fmt.Printf("curl -N -H 'Authorization: Bearer %s' http://%s/v1/chat/completions -d '%s'\n",
		site.Teams[0].Key, c.Instance(0).CallerAddress(), body)
	fmt.Println("\nEnd with an interrupt.")
	cluster.WaitForInterrupt()
}
