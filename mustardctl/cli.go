package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// cli is the command line; the global flags take precedence over the settings file.
type cli struct {
	Config   string `help:"YAML file with any of store, prefix, admin, timeout and output." env:"MUSTARDCTL_CONFIG"`
	settings `embed:""`

	Submit  submitCommand  `cmd:"" help:"Submit a configuration."`
	Diff    diffCommand    `cmd:"" help:"List what a file would change in the configuration in force."`
	Get     getCommand     `cmd:"" help:"Print a configuration as YAML."`
	History historyCommand `cmd:"" help:"List the last accepted submissions."`
	Status  statusCommand  `cmd:"" help:"Show rollouts, data centres, backend servers and instances."`
	Events  eventsCommand  `cmd:"" help:"List events of rollouts and data centres."`
	Drain   drainCommand   `cmd:"" help:"Give a data centre or a backend server no new work."`
	Restore restoreCommand `cmd:"" help:"Give a data centre or a backend server work again."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of an instance."`
}

// stdio holds the standard streams of a command.
type stdio struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// run executes the command that args name and returns its exit code.
func run(ctx context.Context, args []string, std stdio, dial dialer) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("mustardctl"), kong.Writers(std.out, std.err), kong.Exit(panicExit),
		kong.Description("Operates mustardseam. Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 unknown."))
	if err != nil {
		return reportError(std.err, false, err)
	}
	code, parsed, err := parseArgs(parser, args)
	if parsed == nil && err == nil {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "mustardctl: %v\n", err)
		return exitUsage
	}
	cfg, err := c.resolve(c.Config)
	if err != nil {
		return reportError(std.err, c.Output == outputJSON, err)
	}
	return execute(ctx, parsed, newEnv(std, cfg, dial), c.Events.Follow)
}

// helpExit is the panic value that passes the exit code of --help from panicExit to parseArgs: kong requires that its
// exit function does not return.
type helpExit struct{ code int }

func panicExit(code int) { panic(helpExit{code}) }

// parseArgs parses the command line. When the help was printed, the context and the error are nil.
func parseArgs(parser *kong.Kong, args []string) (code int, parsed *kong.Context, err error) {
	defer func() {
		if shown, ok := recover().(helpExit); ok {
			code, parsed, err = shown.code, nil, nil
		}
	}()
	parsed, err = parser.Parse(args)
	return 0, parsed, err
}

// execute runs the parsed command, with the configured timeout unless withoutTimeout is set.
func execute(ctx context.Context, parsed *kong.Context, e *env, withoutTimeout bool) int {
	if !withoutTimeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.cfg.Timeout)
		defer cancel()
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return reportError(e.std.err, e.cfg.Output == outputJSON, parsed.Run(e))
}
