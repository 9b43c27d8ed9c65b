// Command standin3 runs one case of the review: it starts a small deployment of the program under review as separate processes,
// with stand-ins of the store, the backend servers and the callers, and checks one rule.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseLimit bounds the run of a case.
const caseLimit = 110 * time.Second

// cases lists the cases by name.
var cases = map[string]func(s *site, trouble bool) (broken int, err error){
	"broken-head":       brokenHead,
	"cut-copy":          cutCopy,
	"lost-evidence":     lostEvidence,
	"superseded-order":  supersededOrder,
	"disturbed-control": disturbedControl,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case and returns the exit status.
func runCase(run func(*site, bool) (int, error), program, recordPath string, trouble bool) int {
	s, err := newSite(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return 2
	}
	defer s.close()
	watchdog := time.AfterFunc(caseLimit, func() {
		s.logf("case took too long")
		s.close()
		os.Exit(2)
	})
	defer watchdog.Stop()
	s.logf("disruption: %v", trouble)
	broken, err := run(s, trouble)
	switch {
	case err != nil:
		s.logf("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return 2
	case broken > 0:
		s.logf("result: the rule was broken, %d times", broken)
		fmt.Println("the rule was broken,", broken, "times")
		return 1
	}
	s.logf("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
