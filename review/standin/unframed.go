package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	unframedInstances = 8 // As on the sheets; one of them is killed.
	unframedRounds    = 3
	// reportBytes is the size of the answer, that of the largest body on the sheets.
	reportBytes = 4 << 20
	// The client reads readBytes at a time, with readPause between, as over a slow line.
	readBytes = 32 << 10
	readPause = 20 * time.Millisecond
	// killAfter is how much of the answer the client has when the instance is killed.
	killAfter = 128 << 10
	// segmentBytes is the segment size of an Ethernet, so that the buffers of the system are those of a real link.
	segmentBytes   = 1460
	receiveBytes   = 32 << 10
	reportDeadline = 10 * time.Second
)

// playUnframed plays answers without a length that end with their connection, and the death of the instance that passes one on.
// Rule MIXED: an answer that ends early must not look complete.
func playUnframed(s *site, trouble bool) verdict {
	s.store.put("op/config", []byte(`{"version":1,"routes":[{"name":"report","host":"h.example","prefix":"/report/","kind":"safe",
		"timeoutMs":10000,"sloMs":10000,"attempts":1,"service":"reports"}],"services":[{"name":"reports","healthPath":"/health"}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},
		"tenants":[{"name":"team","apiKeys":["key-team"]}]}`))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return verdict{err: err}
	}
	defer func() { _ = ln.Close() }()
	go serveReports(s, ln)
	entry, err := json.Marshal(map[string]any{
		"service": "reports", "addr": ln.Addr().String(), "zone": "z1", "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return verdict{err: err}
	}
	s.store.put("servers/i-reports", entry)
	if err := s.startInstances(unframedInstances); err != nil {
		return verdict{err: err}
	}
	v := verdict{}
	for round := range unframedRounds {
		looksComplete, got, err := fetchReport(s, s.instances[0], fmt.Sprintf("report-%d", round), trouble)
		if err != nil {
			return verdict{err: err}
		}
		if looksComplete && got != reportBytes {
			v.broken++
			s.rec.logf("MIXED    report-%d looks complete with %d of %d bytes", round, got, reportBytes)
		}
		if !trouble && got != reportBytes {
			return verdict{err: errors.New("report was cut off without a disruption")}
		}
		if trouble {
			time.Sleep(restartDelay)
			if err := s.instances[0].start(); err != nil {
				return verdict{err: err}
			}
			time.Sleep(3 * time.Second)
		}
	}
	return v
}

// serveReports is a sound backend server whose answers have neither a length nor chunks and end with their connection.
func serveReports(s *site, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			id := req.Header.Get("Mustardseam-Request-Id")
			if req.Header.Get("Mustardseam-Expect-Instance") != "i-reports" {
				_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nMustardseam-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
				return
			}
			s.rec.logf("run      %s at i-reports", id)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMustardseam-Request-Id: %s\r\nMustardseam-Response-Seal: seal-%s\r\n"+
				"Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n", id, id)
			if _, err := c.Write(report(reportBytes)); err == nil {
				s.rec.logf("run      %s ends, all %d bytes were sent", id, reportBytes)
			}
		}()
	}
}

// report returns the body of an answer with n bytes.
func report(n int) []byte {
	b := make([]byte, n)
	for k := range b {
		b[k] = 'a' + byte(k%26)
	}
	return b
}

// fetchReport fetches a report as a client on a slow line. The instance is killed on the way if kill is set. The answer looks
// complete if its connection ends without an error.
func fetchReport(s *site, i *instance, id string, kill bool) (looksComplete bool, got int, err error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	conn, err := dialer.Dial("tcp", i.front())
	if err != nil {
		return false, 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(reportDeadline))
	s.rec.logf("request  %s to %s", id, i.name)
	if _, err := fmt.Fprintf(conn, "GET /report/a HTTP/1.1\r\nHost: h.example\r\nMustardseam-Request-Id: %s\r\n"+
		"Mustardseam-Deadline-Ms: %d\r\nAuthorization: Bearer key-team\r\n\r\n", id, reportDeadline.Milliseconds()); err != nil {
		return false, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		return false, 0, err
	}
	s.rec.logf("answer   %s: status %d, seal %q, length %d, chunks %v", id, resp.StatusCode,
		resp.Header.Get("Mustardseam-Response-Seal"), resp.ContentLength, resp.TransferEncoding)
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Mustardseam-Response-Seal") != "seal-"+id {
		return false, 0, fmt.Errorf("unexpected answer: status %d", resp.StatusCode)
	}
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false, 0, errors.New("answer has a framing")
	}
	b := make([]byte, readBytes)
	for {
		n, err := resp.Body.Read(b)
		got += n
		if kill && got >= killAfter {
			kill = false
			i.signal(syscall.SIGKILL)
			i.mu.Lock()
			ended := i.ended
			i.mu.Unlock()
			<-ended
		}
		if err != nil {
			s.rec.logf("answer   %s: %d of %d bytes, then the connection ends: %v", id, got, reportBytes, err)
			return err == io.EOF, got, nil
		}
		time.Sleep(readPause)
	}
}
