package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainInstances = 8 // As on the sheets.
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// outages is the number of outages, and drainRounds that of backend servers that leave after each.
	outages     = 3
	drainRounds = 4
	// serveOn is how long a backend server goes on serving after its entry was removed.
	serveOn = 3500 * time.Millisecond
	// stormTime and stormInterval are the length of a series of configurations and the time between two of them.
	stormTime     = 2 * time.Second
	stormInterval = 80 * time.Millisecond
	// callersPerInstance is the number of clients at each instance, more than the backend servers have slots for.
	callersPerInstance = 6
	lookTime           = 30 * time.Millisecond
	lookDeadline       = 2500 * time.Millisecond
	// askPause is the pause of the client of the model replica at each instance between two requests.
	askPause = 100 * time.Millisecond
)

// playDrain plays outages of the store, after which backend servers leave by the removal of their entries. Rule DRAIN: no
// request may reach one later than drainMs after the store has acknowledged the removal.
func playDrain(s *site, trouble bool) verdict {
	var version int
	writeConfig := func() {
		version++
		s.store.put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"look","host":"h.example","prefix":"/look/",
			"kind":"safe","timeoutMs":2500,"sloMs":500,"attempts":2,"service":"records"},{"name":"ask","host":"h.example",
			"prefix":"/ask/","kind":"safe","timeoutMs":2500,"sloMs":500,"attempts":2,"service":"pool"}],
			"services":[{"name":"records","healthPath":"/health"},{"name":"pool","healthPath":"/health","engine":{"stride":4}}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},
			"tenants":[{"name":"team","apiKeys":["key-team"]}]}`, version))
	}
	writeConfig()
	stays, err := newBackend(s.rec, "i-stays", "records", 6, lookTime)
	if err != nil {
		return verdict{err: err}
	}
	defer stays.close()
	s.store.put("servers/"+stays.id, stays.entry("ready"))
	model, err := newBackend(s.rec, "i-model", "pool", 16, lookTime)
	if err != nil {
		return verdict{err: err}
	}
	defer model.close()
	s.store.put("servers/"+model.id, model.entry("ready"))
	if err := s.startInstances(drainInstances); err != nil {
		return verdict{err: err}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	callers := startLooks(ctx, s)
	time.Sleep(3 * time.Second)
	late := 0
	for n := range outages {
		if trouble {
			s.rec.logf("store    is down for %v", outage)
			s.store.setDown(true)
			time.Sleep(outage)
			s.store.setDown(false)
			s.rec.logf("store    is back")
		}
		// All instances are in touch again after contactMs.
		time.Sleep(contact + time.Second)
		for round := range drainRounds {
			n, err := playRemoval(s, n*drainRounds+round, writeConfig)
			if err != nil {
				return verdict{err: err}
			}
			late += n
		}
	}
	stop()
	callers.Wait()
	return verdict{broken: late}
}

// playRemoval starts a backend server, removes its entry after a while and returns how many requests reach it too late.
// Meanwhile the operator writes configurations in quick succession.
func playRemoval(s *site, round int, writeConfig func()) (late int, err error) {
	b, err := newBackend(s.rec, fmt.Sprintf("i-leaves-%d", round), "records", 6, lookTime)
	if err != nil {
		return 0, err
	}
	defer b.close()
	s.store.put("servers/"+b.id, b.entry("ready"))
	time.Sleep(time.Second)
	stormEnd := time.Now().Add(stormTime)
	var storm sync.WaitGroup
	storm.Add(1)
	go func() {
		defer storm.Done()
		for time.Now().Before(stormEnd) {
			writeConfig()
			time.Sleep(stormInterval)
		}
	}()
	time.Sleep(stormTime / 2)
	removed := s.store.remove("servers/" + b.id)
	s.rec.logAt(removed, "entry    of %s is removed, acknowledged by the store", b.id)
	storm.Wait()
	time.Sleep(time.Until(removed.Add(serveOn)))
	all := b.arrived()
	latest := time.Duration(0)
	for _, a := range all {
		latest = max(latest, a.at.Sub(removed))
		if after := a.at.Sub(removed); after > drain {
			late++
			s.rec.logAt(a.at, "LATE     request %s reaches %s %d ms after the acknowledgement", a.id, b.id, after.Milliseconds())
		}
	}
	s.rec.logf("entry    %s served %d requests, the latest %d ms after the acknowledgement, %d too late", b.id, len(all),
		latest.Milliseconds(), late)
	return late, nil
}

// startLooks starts the clients. Each sends its next request after the answer to the one before, on a kept connection.
func startLooks(ctx context.Context, s *site) *sync.WaitGroup {
	var wg sync.WaitGroup
	var lastID atomic.Int64
	start := func(i *instance, path string, pause time.Duration) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
			for ctx.Err() == nil {
				look(ctx, s, client, i, path, fmt.Sprintf("look-%d", lastID.Add(1)))
				time.Sleep(pause)
			}
		}()
	}
	for _, i := range s.instances {
		for range callersPerInstance {
			start(i, "/look/a", 0)
		}
		start(i, "/ask/a", askPause)
	}
	return &wg
}

// look sends one request. After a refusal the client waits as it is told.
func look(ctx context.Context, s *site, client *http.Client, i *instance, path, id string) {
	timed, cancel := context.WithTimeout(ctx, lookDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(timed, http.MethodGet, "http://"+i.front()+path, nil)
	if err != nil {
		return
	}
	req.Host = "h.example"
	req.Header.Set("Mustardseam-Request-Id", id)
	req.Header.Set("Mustardseam-Deadline-Ms", fmt.Sprint(lookDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-team")
	s.rec.logf("request  %s to %s", id, i.name)
	resp, err := client.Do(req)
	if err != nil {
		s.rec.logf("answer   %s: %v", id, err)
		time.Sleep(50 * time.Millisecond)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.rec.logf("answer   %s: %d", id, resp.StatusCode)
	if resp.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(200 * time.Millisecond)
	}
}
