package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// brokenHead plays a faulty backend server some of whose answers are none: their status is 000, or the name of a field in their head
// holds a blank.
func brokenHead(s *site, trouble bool) (int, error) {
	const (
		callers   = 6
		faultyAt  = 500 * time.Millisecond // When the fault begins, and how long it lasts.
		faultyFor = 5 * time.Second
		lasts     = 6 * time.Second // How long the callers send orders.
		failEach  = 4               // Each fourth order fails at the backend server.
		badEach   = 35              // While it is faulty, each 35th answer of one of three backend servers is broken.
	)
	const placed = `{"placed":"?"}`
	forms := []struct {
		name  string
		head  func(r *replica, id, body string) string
		close bool // The backend server closes the connection after the answer.
	}{
		{"status 000", func(r *replica, id, body string) string {
			return strings.Replace(r.answer(id, 500, `{"error":"the order was not placed"}`), "HTTP/1.1 500 Internal Server Error", "HTTP/1.1 000 Error", 1)
		}, false},
		{"blank in a name", func(r *replica, id, body string) string {
			return strings.Replace(r.answer(id, 200, placed), "Content-Type", "Content Type", 1)
		}, false},
		{"blank in the name of the length, and bytes after the answer", func(r *replica, id, body string) string {
			return strings.Replace(r.answer(id, 200, placed), "Content-Length", "Content Length", 1) + placed
		}, true},
	}
	var mu sync.Mutex
	given := map[string]string{} // What the backend server did with a request: the form of the answer, or its status.
	var begin time.Time          // When the callers begin.
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
			status, body := 200, `{"placed":"`+string(req.body)+`"}`
			if number%failEach == 0 {
				status, body = 500, `{"error":"the order was not placed"}`
			}
			answer, what, closes := r.answer(req.id, status, body), fmt.Sprint(status), false
			if faulty && number%badEach == 0 {
				form := forms[number/badEach%len(forms)]
				answer, what, closes = form.head(r, req.id, body), form.name, form.close
			}
			work := 6 * time.Millisecond
			if n == 0 {
				work = 2 * time.Millisecond // The faulty one is the fastest, so that it gets most orders.
			}
			time.Sleep(work)
			mu.Lock()
			given[req.id] = what
			mu.Unlock()
			s.logf("%s conn %d: request %s, answer %q", r.id, c.number, req.id, strings.ReplaceAll(answer, "\r\n", "|"))
			_, err := c.Write([]byte(answer))
			return err == nil && !closes
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
	place := func(id string) {
		head, body, err := rawCall(i.front, id, "hide "+id)
		mu.Lock()
		what := given[id]
		mu.Unlock()
		s.logf("caller: %s got %q, body %q, error %v; the backend server gave: %s", id, strings.ReplaceAll(head, "\r\n", "|"), body, err, what)
		status := ""
		if words := strings.Fields(head); len(words) > 1 {
			status = words[1]
		}
		sealed := strings.Contains(head, "Mustardseam-Response-Seal")
		switch {
		case err != nil || what == "200" || what == "500" || what == "":
		case what == "status 000" && status[0] == '2':
			report("BROKEN (MIXED): %s is answered %s, although no backend server gave a success", id, status)
		case sealed && status[0] == '2' && strings.HasPrefix(what, "blank in the name of the length") && body != placed:
			report("BROKEN (MIXED): %s is answered %s with a body that isn't the backend server's", id, status)
		case what != "status 000" && sealed && strings.Contains(head, "Content Type"):
			report("BROKEN (MIXED): %s is answered %s with a line that is no field", id, status)
		}
	}
	var wg sync.WaitGroup
	for k := range callers {
		wg.Go(func() {
			for n := 0; time.Since(begin) < lasts; n++ {
				place(fmt.Sprintf("order-%d-%d", k, n))
			}
		})
	}
	wg.Wait()
	s.logf("%d orders arrived", len(given))
	return broken, nil
}

// rawCall sends an order on a connection of its own and returns the head and the body of the answer as they came.
func rawCall(addr, id, order string) (head, body string, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST /orders/place HTTP/1.1\r\nHost: shop.example\r\nMustardseam-Request-Id: %s\r\nMustardseam-Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", id, len(order), order)
	b, err := io.ReadAll(bufio.NewReader(conn))
	head, body, found := strings.Cut(string(b), "\r\n\r\n")
	if err == nil && !found {
		err = io.ErrUnexpectedEOF
	}
	return head, body, err
}
