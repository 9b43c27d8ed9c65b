package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	slowClients   = 6
	slowInstances = 2
	// allowedLosses is the number of connections that the rule allows to be closed.
	allowedLosses = 3
	// The long answer has longBytes. A client on a slow line reads slowReadBytes at a time and lineRate bytes a second: 14 s.
	longBytes     = 7 << 20
	slowReadBytes = 16 << 10
	lineRate      = longBytes / 14
	shortBytes    = 800
	// slowLineDeadline is how long the clients wait, the longest deadline on the sheets.
	slowLineDeadline = 15 * time.Second
)

// playSlowLine plays clients that read a long answer over a slow line, each on a kept connection, well within their deadline.
// Rule LOST: the connections must not be closed before the end of the answers.
func playSlowLine(s *site, trouble bool) verdict {
	s.store.put("op/config", []byte(`{"version":1,"routes":[{"name":"report","host":"h.example","prefix":"/report/","kind":"safe",
		"timeoutMs":15000,"sloMs":15000,"attempts":1,"service":"reports"}],"services":[{"name":"reports","healthPath":"/health"}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},
		"tenants":[{"name":"team","apiKeys":["key-team"]}]}`))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return verdict{err: err}
	}
	defer func() { _ = ln.Close() }()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Mustardseam-Request-Id")
		w.Header().Set("Mustardseam-Request-Id", id)
		if r.Header.Get("Mustardseam-Expect-Instance") != "i-reports" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.rec.logf("run      %s %s at i-reports", id, r.URL.Path)
		w.Header().Set("Mustardseam-Response-Seal", "seal-"+id)
		body := report(shortBytes)
		if r.URL.Path == "/report/long" {
			body = report(longBytes)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, err := w.Write(body)
		s.rec.logf("run      %s ends, %d bytes were sent, error %v", id, len(body), err)
	})}
	go func() { _ = srv.Serve(ln) }()
	entry, err := json.Marshal(map[string]any{
		"service": "reports", "addr": ln.Addr().String(), "zone": "z1", "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return verdict{err: err}
	}
	s.store.put("servers/i-reports", entry)
	if err := s.startInstances(slowInstances); err != nil {
		return verdict{err: err}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	v := verdict{}
	for n := range slowClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lost, err := readSlowly(s, s.instances[n%len(s.instances)], n, trouble)
			mu.Lock()
			defer mu.Unlock()
			if lost {
				v.broken++
			}
			if err != nil {
				v.err = err
			}
		}()
	}
	wg.Wait()
	if v.broken <= allowedLosses {
		v.broken = 0
	}
	return v
}

// readSlowly sends a short and a long request on one connection and reads the answers, slowly if slow is set. The request is lost if
// the connection ends before the end of an answer.
func readSlowly(s *site, i *instance, n int, slow bool) (lost bool, err error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	conn, err := dialer.Dial("tcp", i.front())
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReaderSize(conn, 4<<10)
	for _, path := range []string{"/report/short", "/report/long"} {
		id := fmt.Sprintf("%s-%d", path[len("/report/"):], n)
		sent := time.Now()
		s.rec.logf("request  %s to %s", id, i.name)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nMustardseam-Request-Id: %s\r\n"+
			"Mustardseam-Deadline-Ms: %d\r\nAuthorization: Bearer key-team\r\n\r\n", path, id, slowLineDeadline.Milliseconds()); err != nil {
			return false, err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return false, err
		}
		if resp.StatusCode != http.StatusOK {
			return false, errors.New(resp.Status)
		}
		b := make([]byte, slowReadBytes)
		got := 0
		for err == nil {
			var k int
			k, err = io.ReadFull(resp.Body, b)
			got += k
			if slow {
				time.Sleep(time.Until(sent.Add(time.Duration(float64(got) / lineRate * float64(time.Second)))))
			}
		}
		s.rec.logf("answer   %s: %d of %d bytes after %d ms: %v", id, got, resp.ContentLength, time.Since(sent).Milliseconds(), err)
		if int64(got) != resp.ContentLength {
			s.rec.logf("LOST     %s: connection closed before the end of the answer and its deadline", id)
			return time.Since(sent) < slowLineDeadline, nil
		}
	}
	return false, nil
}
