// Command standin plays the cases of the review that cannot be put as a day of the bench. It starts the program platform with
// the command of the deploy file, on loopback addresses, and plays the platform's store, its entry address, the backend servers
// and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case: the number of events that break the rule.
type verdict struct {
	broken int
	err    error // The case could not run.
}

// cases holds the cases by name.
var cases = map[string]func(s *site, trouble bool) verdict{
	"drain":    playDrain,
	"grace":    playGrace,
	"unframed": playUnframed,
	"slowline": playSlowLine,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, repository, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSite(rec, repository)
	if err != nil {
		rec.logf("case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.close()
		os.Exit(exitNotRun)
	}()
	rec.logf("case %s, disruption %v", name, trouble)
	v := cases[name](s, trouble)
	switch {
	case v.err != nil:
		rec.logf("case could not run: %v", v.err)
		return exitNotRun
	case v.broken > 0:
		rec.logf("rule broken: %d events", v.broken)
		return exitBroken
	}
	rec.logf("rule held")
	return exitKept
}
