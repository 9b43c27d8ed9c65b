package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimit = 284_000_000 // memoryMb
	// routesBefore and routesAfter are the routes of the configuration before and after it has grown; the largest big_config of the
	// site files adds 1,652.
	routesBefore = 8
	routesAfter  = routesBefore + 1652
	// stormVersions and stormGap are those of a config_storm of the site files: 2 s with a change each 80 ms.
	stormVersions = 25
	stormGap      = 80 * time.Millisecond
	stormPause    = 300 * time.Millisecond
	maxStorms     = 38
)

// manyVersions changes a large configuration in several storms. No instance may exceed its memory, which ends it with the
// requests that it has passed on.
func manyVersions(r *run) int {
	kv := newKVStore(r.ip(1), kvLongIdle)
	write := func(version, routes int) { kv.put("op/config", largeConfig(version, routes)) }
	write(1, routesBefore)
	work := func(*http.Request) time.Duration { return 100*time.Millisecond + rand.N(100*time.Millisecond) }
	for n, id := range []string{"i-one", "i-two"} {
		s := newReplica(r.recorder, r.ip(21+n), id, "orders", []string{"za", "zb"}[n], 6, work)
		kv.put("servers/"+id, s.entry("ready"))
	}
	r.start(kv.addr, kv.addr)
	r.note("instances are ready")

	// The platform ends a process that exceeds its memory.
	peak := map[string]int64{}
	killed := map[string]time.Time{}
	var mu sync.Mutex
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, i := range r.instances {
		go func() {
			for sleep(ctx, 50*time.Millisecond) && !i.ended() {
				used := i.residentBytes()
				mu.Lock()
				peak[i.name] = max(peak[i.name], used)
				if used > memoryLimit {
					killed[i.name] = time.Now()
					i.signal(syscall.SIGKILL)
				}
				mu.Unlock()
			}
		}()
	}
	type cutRequest struct{ id, name string }
	var cut []cutRequest
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() {
			i := r.instances[n%2]
			t := &http.Transport{DisableCompression: true}
			for ctx.Err() == nil && !i.ended() {
				a := attempt{method: "POST", host: "shop.example", path: "/order/new", key: "k1", body: "item", deadline: 2500 * time.Millisecond}
				got := a.sendOn(t, r.recorder, i)
				if got.err != nil && ctx.Err() == nil {
					mu.Lock()
					cut = append(cut, cutRequest{got.id, i.name})
					mu.Unlock()
				}
			}
		})
	}
	version := 2
	for storm := 1; storm <= maxStorms && r.trouble; storm++ {
		for range stormVersions {
			write(version, routesAfter)
			version++
			time.Sleep(stormGap)
		}
		mu.Lock()
		r.note("storm %d: version %d, %d bytes, memory %v MB", storm, version-1, kv.size("op/config"), peak)
		done := len(killed) == len(r.instances)
		mu.Unlock()
		if done {
			break
		}
		time.Sleep(stormPause)
	}
	if !r.trouble {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	reached := map[string]bool{}
	for _, e := range r.all() {
		if e.kind == "run" {
			reached[e.id] = true
		}
	}
	for _, c := range cut {
		if _, ok := killed[c.name]; ok && reached[c.id] {
			broken++
		}
	}
	r.note("memory at most %v, ended for it: %d; requests passed on and closed without an answer: %d", peak, len(killed), broken)
	return max(0, broken-allowedCuts)
}

// allowedCuts is the number of connections that may be closed without an answer.
const allowedCuts = 3

// residentBytes returns the memory of the process that no file backs.
func (i *instance) residentBytes() int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			var kb int64
			_, _ = fmt.Sscan(rest, &kb)
			return kb << 10
		}
	}
	return 0
}

// sendOn sends a request like send, on a connection that is kept.
func (a attempt) sendOn(t *http.Transport, rec *recorder, i *instance) result {
	r := result{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+i.front()+a.path, strings.NewReader(a.body))
	check(err)
	req.Host = a.host
	req.Header.Set("Mustardseam-Request-Id", r.id)
	req.Header.Set("Mustardseam-Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+a.key)
	rec.add(event{at: r.sent, kind: "sent", id: r.id, who: i.name, note: a.method + " " + a.path})
	resp, err := t.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		r.status = resp.StatusCode
	}
	if r.err = err; err != nil {
		rec.add(event{at: time.Now(), kind: "failed", id: r.id, who: i.name, note: err.Error()})
		return r
	}
	r.complete = true
	rec.add(event{at: time.Now(), kind: "answered", id: r.id, who: i.name, note: fmt.Sprint(r.status)})
	return r
}
