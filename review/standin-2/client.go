package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	method, host, path, key, body string
	deadline                      time.Duration
	events                        int // Events that the backend server is to send; 0 for no stream.
	tokens                        int // Tokens of the prompt; 0 if the request states none.
}

// result is what a client got.
type result struct {
	id       string
	sent     time.Time
	status   int // 0 if the connection ended without an answer.
	complete bool
	body     string
	err      error
}

// send sends a request on a new connection to an instance and reads the answer.
func (a attempt) send(rec *recorder, i *instance) result {
	r := result{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+i.front()+a.path, strings.NewReader(a.body))
	check(err)
	req.Host = a.host
	req.Header.Set("Mustardseam-Request-Id", r.id)
	req.Header.Set("Mustardseam-Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	if a.tokens > 0 {
		req.Header.Set("Mustardseam-Token-Count", fmt.Sprintf("%d,0", a.tokens))
	}
	if a.events > 0 {
		req.Header.Set("Stand-In-Events", fmt.Sprint(a.events))
	}
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	r.sent = time.Now()
	rec.add(event{at: r.sent, kind: "sent", id: r.id, who: i.name, note: a.method + " " + a.path})
	resp, err := t.RoundTrip(req)
	if err != nil {
		r.err = err
		rec.add(event{at: time.Now(), kind: "failed", id: r.id, who: i.name, note: err.Error()})
		return r
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	r.status, r.complete, r.body, r.err = resp.StatusCode, err == nil, string(b), err
	note := "complete"
	if err != nil {
		note = "cut: " + err.Error()
	}
	rec.add(event{at: time.Now(), kind: "answered", id: r.id, who: i.name, note: fmt.Sprintf("%d %s", r.status, note)})
	return r
}
