package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// requestTimeout is how long a client waits for an answer.
const requestTimeout = 4 * time.Second

// result is the outcome of a request as its client observed it.
type result struct {
	id       string
	kind     string
	instance string
	at       time.Time
	ended    time.Time
	status   int // HTTP status; 0 means no answer.
	body     string
	seal     string
	complete bool
	err      error
}

// clients sends requests and records their results.
type clients struct {
	mu      sync.Mutex
	results []result // Guarded by mu.
	lastID  int      // Guarded by mu.
}

func (c *clients) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("r%06d", c.lastID)
}

func (c *clients) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended = time.Now()
	c.results = append(c.results, r)
}

func (c *clients) snapshot() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}

// run sends requests until stop is closed. Each connection carries up to 10 requests, or fewer if it fails or is closed.
func (c *clients) run(rnd *rand.Rand, site *site, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		p := site.pickInstance(rnd)
		conn, err := net.DialTimeout("tcp", p.frontAddr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(conn)
		for range 1 + rnd.IntN(10) {
			r := c.send(rnd, site, p, conn, br)
			c.add(r)
			if r.status == 0 || !r.complete {
				break
			}
			time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
		}
		_ = conn.Close()
	}
}

// send sends a request of a random kind and reads its answer.
func (c *clients) send(rnd *rand.Rand, site *site, p *process, conn net.Conn, br *bufio.Reader) result {
	kind := []string{"safe", "unsafe", "unsafe", "stream"}[rnd.IntN(4)]
	r := result{id: c.nextID(), kind: kind, instance: p.name, at: time.Now()}
	_ = conn.SetDeadline(time.Now().Add(requestTimeout + time.Second))
	prompt := ""
	if kind == "stream" {
		prompt = "Mustardseam-Prompt-Prefix: " + site.prompt(rnd, r.id) + "\r\n"
	}
	body := site.body(rnd)
	_, r.err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nMustardseam-Request-Id: %s\r\n"+
		"%sMustardseam-Deadline-Ms: %d\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s",
		kind, r.id, prompt, requestTimeout.Milliseconds(), len(body), body)
	if r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.seal = resp.StatusCode, resp.Header.Get("Mustardseam-Response-Seal")
	b, err := io.ReadAll(resp.Body)
	r.body, r.err = string(b), err
	r.complete = err == nil && !resp.Close
	return r
}

// check returns the guarantee that a result violates, or the empty string. runs is how often backend
// servers ran the request.
func (r result) check(runs int) string {
	switch {
	case r.kind == "unsafe" && runs > 1:
		return fmt.Sprintf("a request that may run once ran %d times", runs)
	case (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && runs > 0:
		return fmt.Sprintf("a request answered %d as not run ran", r.status)
	case r.status == 400 || r.status == 401 || r.status == 404:
		return fmt.Sprintf("a proper request was answered %d with signature %q and body %q", r.status, r.seal, r.body)
	case r.status != 200 || r.err != nil:
		return ""
	case !strings.HasSuffix(r.seal, "."+r.id):
		return fmt.Sprintf("the signature %q is of another request", r.seal)
	case r.kind == "stream":
		return checkStream(r.body)
	case r.body != "answer of "+strings.TrimSuffix(r.seal, "."+r.id)+" to "+r.id:
		return fmt.Sprintf("the body %q is not the answer", r.body)
	}
	return ""
}

// checkStream checks that a stream that ended as complete has each event once and in order.
func checkStream(body string) string {
	want := ""
	for n := 1; n <= 6; n++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
	}
	if body != want {
		return fmt.Sprintf("the stream %q looks complete and is not", body)
	}
	return ""
}
