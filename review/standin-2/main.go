// Command standin-2 runs the scripted cases of the review: stand-ins of the platform, of backend servers and of clients, and
// instances of the program under test as separate processes.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a run.
const maxRunTime = 110 * time.Second

// run is what a case gets.
type run struct {
	*recorder
	trouble   bool   // The disruption is to happen.
	dir       string // Temporary folder.
	net       string // First three parts of the loopback addresses of the run.
	instances []*instance
}

// cases are the cases by name. Each returns the number of times that the rule was broken.
var cases = map[string]func(*run) int{
	"silent-store":      silentStore,
	"restoration":       restoration,
	"replaced-machines": replacedMachines,
	"many-versions":     manyVersions,
	"oversized-watch":   oversizedWatch,
	"hub-cut":           hubCut,
	"late-stop":         lateStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and writes its record.
func play(f func(*run) int, record string) (code int) {
	dir, err := os.MkdirTemp("", "standin-2-")
	check(err)
	r := &run{
		recorder: newRecorder(), trouble: os.Getenv("TROUBLE") != "0", dir: dir,
		net: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	time.AfterFunc(maxRunTime, func() {
		r.stop()
		fmt.Println("the run took too long")
		os.Exit(exitNotRun)
	})
	defer func() {
		if p := recover(); p != nil {
			fmt.Printf("the case could not run: %v\n%s", p, debug.Stack())
			code = exitNotRun
		}
		r.stop()
		r.write(record)
		if keep := os.Getenv("LOGS"); keep != "" {
			check(os.MkdirAll(keep, 0o755))
			for _, i := range r.instances {
				b, _ := os.ReadFile(filepath.Join(dir, i.name+".log"))
				_ = os.WriteFile(filepath.Join(keep, i.name+".log"), b, 0o644)
			}
		}
		_ = os.RemoveAll(dir)
	}()
	broken := f(r)
	if broken > 0 {
		r.note("the rule was broken %d times", broken)
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

// ip returns a loopback address of the run.
func (r *run) ip(n int) string { return fmt.Sprintf("%s.%d", r.net, n) }

// start starts instances that use a store each, and waits until they are ready.
func (r *run) start(stores ...string) {
	seeds := ""
	for n := range stores {
		if n > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", fmt.Sprintf("%s:%d", r.ip(11+n), controlPort))
	}
	for n, store := range stores {
		zone := []string{"za", "zb"}[n%2]
		r.instances = append(r.instances, startInstance(r.dir, fmt.Sprintf("front-%d", n+1), zone, r.ip(11+n), store, seeds))
	}
	for _, i := range r.instances {
		i.awaitReady(10 * time.Second)
	}
}

// stop ends the instances.
func (r *run) stop() {
	for _, i := range r.instances {
		i.kill()
	}
}

// config returns a configuration with one plain service and routes to it.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "orders", "healthPath": "/health", "maxConns": 110, "coldS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "shop", "apiKeys": []string{"k1"}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 66578, "burst": 66578}},
	}
}

// route returns a route to the service.
func route(name, prefix, kind string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "sloMs": 150, "priority": 0,
		"service": "orders", "attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// firstEra returns the era of the store before its first restoration, 0 unless ERA names another one.
func firstEra() int64 {
	n, _ := strconv.ParseInt(os.Getenv("ERA"), 10, 64)
	return n
}
