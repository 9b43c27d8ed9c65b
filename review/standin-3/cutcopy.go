package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cutCopy plays a faulty backend server that sends a second copy of an answer, late and broken off within its head, and then goes on
// with the answer to the request that is due.
func cutCopy(s *site, trouble bool) (int, error) {
	const (
		callers   = 6
		faultyAt  = 500 * time.Millisecond // When the fault begins, and how long it lasts.
		faultyFor = 5 * time.Second
		lasts     = 6 * time.Second // How long the callers send orders.
		failEach  = 4               // Each fourth order fails at the backend server.
		fullEach  = 14              // Each 14th request finds it full.
		copyEach  = 35              // While it is faulty, one of three backend servers repeats each 35th answer.
	)
	// A copy is broken off within its first line, after the status and the beginning of the reason; that of a refusal within its
	// second line.
	cut := func(answer string) string {
		const refusal = "HTTP/1.1 503 Service Unavailable\r\nMustardseam-Not-Executed: 1"
		if strings.HasPrefix(answer, refusal) {
			return refusal
		}
		return answer[:len("HTTP/1.1 200 OK")]
	}

	var mu sync.Mutex
	given := map[string]int{} // Status that the replica gave, by request; 0 if it said that the request was not run.
	ran := map[string]int{}   // How often a request ran.
	copies := 0               // Answers that were repeated in part.
	var begin time.Time       // When the callers begin.
	isFaulty := func() bool {
		since := time.Since(begin)
		return !begin.IsZero() && since >= faultyAt && since < faultyAt+faultyFor
	}
	var replicas []*replica
	for n := range 3 {
		var r *replica
		arrived := 0
		serve := func(c *replicaConn, req *replicaRequest) bool {
			mu.Lock()
			arrived++
			number, faulty := arrived, trouble && n == 0 && isFaulty()
			mu.Unlock()
			var answer string
			switch {
			case number%fullEach == 0:
				answer = r.refusal(req.id)
			case number%failEach == 0:
				answer = r.answer(req.id, 500, `{"error":"the order was not placed"}`)
			default:
				answer = r.answer(req.id, 200, `{"placed":"`+string(req.body)+`"}`)
			}
			work := 6 * time.Millisecond
			if n == 0 {
				work = 2 * time.Millisecond // The faulty one is the fastest, so that it gets most orders.
			}
			time.Sleep(work)
			mu.Lock()
			if number%fullEach != 0 {
				ran[req.id]++
				given[req.id] = 200
				if number%failEach == 0 {
					given[req.id] = 500
				}
			}
			mu.Unlock()
			s.logf("%s conn %d: request %s, late bytes %q, answer %q", r.id, c.number, req.id, c.late, strings.SplitN(answer, "\r\n", 2)[0])
			if _, err := c.Write([]byte(c.late + answer)); err != nil {
				return false
			}
			c.late = ""
			if faulty && number%copyEach == 0 {
				// The second copy follows when the next answer is due.
				c.late = cut(answer)
				mu.Lock()
				copies++
				mu.Unlock()
			}
			return true
		}
		var err error
		if r, err = newReplica(s, fmt.Sprintf("i-%d", n+1), "branch-orders", serve); err != nil {
			return 0, err
		}
		replicas = append(replicas, r)
	}
	s.store.put("op/config", orderConfig(7))
	for _, r := range replicas {
		r.register()
	}
	i, err := s.newInstance(1)
	if err != nil {
		return 0, err
	}
	if err := s.start(i, i.control); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	begin = time.Now()
	mu.Unlock()
	broken := 0
	report := func(format string, args ...any) {
		mu.Lock()
		broken++
		mu.Unlock()
		s.logf(format, args...)
	}
	place := func(c *client, id string) {
		order := "hide " + id
		a := c.call("POST", "/orders/place", id, order, 2500*time.Millisecond)
		mu.Lock()
		status, run := given[id], ran[id]
		mu.Unlock()
		s.logf("caller: %s got status %d, seal %q, error %v; the backend server gave %d", id, a.status, a.seal, a.err, status)
		switch {
		case a.err == nil && a.status/100 == 2 && status != a.status:
			report("BROKEN (MIXED): %s is answered with success, although the backend server answered with a failure", id)
		case a.err == nil && a.seal != "" && a.status != status:
			report("BROKEN (MIXED): %s bears the seal of the backend server with another status than it gave", id)
		}
		if run > 1 {
			report("BROKEN (TWICE): %s, which isn't idempotent, ran %d times", id, run)
		}
		if a.err == nil && run > 0 && (a.status == 429 || a.status == 503) {
			report("BROKEN (REFUSED): %s is answered %d and has run", id, a.status)
		}
	}
	var wg sync.WaitGroup
	for k := range callers {
		wg.Go(func() {
			c := &client{addr: i.front}
			defer c.close()
			for n := 0; time.Since(begin) < lasts; n++ {
				place(c, fmt.Sprintf("order-%d-%d", k, n))
			}
		})
	}
	wg.Wait()
	s.logf("%d orders ran, %d answers of the faulty server were repeated in part", len(ran), copies)
	return broken, nil
}

// orderConfig is a configuration with a route for orders, which must run at most once, and one for look-ups.
func orderConfig(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 1200, "sloMs": 150, "priority": 2,
			"service": "branch-orders", "attempts": attempts, "public": false, "sticky": false, "resumable": false, "gapAimMs": 0,
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route("r-place", "/orders/", "unsafe", 1), route("r-look", "/look/", "safe", 2)},
		"services": []any{map[string]any{
			"name": "branch-orders", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
