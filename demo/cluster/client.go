package cluster

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Client sends requests to the instances of a site; its methods are safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client that reuses connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		StreamResponseBody: true, MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Answer is the response to a request as the caller received it.
type Answer struct {
	Status             int
	Type               string // Type of the problem without its URN prefix; empty when there is none.
	NotRun             bool
	RetryAfter         string // Value of the Retry-After header; empty when it is missing.
	Server             string
	Version            string
	Replayed           bool
	Text               string
	OutputTokens       int
	Complete           bool // The answer is complete and matches the request.
	Sent               time.Time
	HeadReceived       time.Time // Time at which the response header arrived.
	FirstTokenReceived time.Time // Time at which the first token arrived; zero when none did.
	End                time.Time
}

// Completion is a chat completion request.
type Completion struct {
	Address         string
	Key             string // API key of the team.
	Model           string
	Tier            string
	Prompt          string
	MaxOutputTokens int
	IdempotencyKey  string // Value of the Idempotency-Key header; empty for none.
	Timeout         time.Duration
	NonStreaming    bool // The response is requested as a single JSON document.
}

// Tag returns the hash of the prompt that the engine stand-in writes into each token of its answer.
func Tag(prompt string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String("user:"+prompt+"\n")))
}

// Complete sends a chat completion request and reads the response to its end.
func (c *Client) Complete(r Completion) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "stream": !r.NonStreaming, "max_tokens": r.MaxOutputTokens,
		"messages": []map[string]string{{"role": "user", "content": r.Prompt}},
	})
	if err != nil {
		return Answer{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + r.Address + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	setHeader(req, r.Key, r.Tier, r.IdempotencyKey, r.Timeout)
	req.SetBodyRaw(body)
	return c.send(req, func(resp *fasthttp.Response, a *Answer) error { return readCompletion(resp, r, a) })
}

// Order sends an order to a service route.
func (c *Client) Order(addr, key, route, idempotencyKey string, timeout time.Duration) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/services/" + route + "/reserve")
	req.Header.SetMethod(fasthttp.MethodPost)
	setHeader(req, key, "", idempotencyKey, timeout)
	return c.send(req, func(resp *fasthttp.Response, a *Answer) error {
		body, err := resp.BodyUncompressed()
		a.Text = string(body)
		a.Complete = err == nil && strings.Contains(a.Text, strconv.Quote(idempotencyKey))
		return err
	})
}

func setHeader(req *fasthttp.Request, key, tier, idempotencyKey string, timeout time.Duration) {
	req.Header.Set("Authorization", "Bearer "+key)
	if tier != "" {
		req.Header.Set("Mustardseam-Tier", tier)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	if timeout > 0 {
		req.Header.Set("Mustardseam-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	}
}

// send executes the request; read decodes the body of a response with status 200.
func (c *Client) send(req *fasthttp.Request, read func(*fasthttp.Response, *Answer) error) (Answer, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	a := Answer{Sent: time.Now()}
	if err := c.http.Do(req, resp); err != nil {
		a.End = time.Now()
		return a, eris.Wrap(err, "call instance")
	}
	defer func() { _ = resp.CloseBodyStream() }()
	a.HeadReceived = time.Now()
	a.Status = resp.StatusCode()
	a.Server = string(resp.Header.Peek("Mustardseam-Backend-Server"))
	a.Version = string(resp.Header.Peek("Mustardseam-Version"))
	a.Replayed = len(resp.Header.Peek("Mustardseam-Replayed")) > 0
	a.RetryAfter = string(resp.Header.Peek("Retry-After"))
	err := readProblem(resp, &a)
	if a.Status == fasthttp.StatusOK {
		err = read(resp, &a)
	}
	a.End = time.Now()
	return a, err
}

// readProblem decodes the problem document of a response whose status is not 200.
func readProblem(resp *fasthttp.Response, a *Answer) error {
	if a.Status == fasthttp.StatusOK {
		return nil
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return err
	}
	var p struct {
		Type   string `json:"type"`
		NotRun bool   `json:"not-run"`
	}
	_ = json.Unmarshal(body, &p)
	a.Type, a.NotRun = strings.TrimPrefix(p.Type, "urn:mustardseam:problem:"), p.NotRun
	return nil
}

// readCompletion decodes a completion and checks that it is complete and matches the prompt.
func readCompletion(resp *fasthttp.Response, r Completion, a *Answer) error {
	ended := false
	if r.NonStreaming {
		body, err := resp.BodyUncompressed()
		if err != nil {
			return err
		}
		var out struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(body, &out); err != nil || len(out.Choices) == 0 {
			return eris.Errorf("decode answer: %v", err)
		}
		a.Text, ended, a.FirstTokenReceived = out.Choices[0].Message.Content, true, time.Now()
	} else {
		var err error
		if ended, err = readStream(resp, a); err != nil {
			return err
		}
	}
	a.Complete = ended && a.Text == expected(r.Prompt, r.MaxOutputTokens)
	a.OutputTokens = strings.Count(a.Text, " ")
	return nil
}

// expected returns the engine stand-in's answer to the prompt.
func expected(prompt string, tokens int) string {
	var b strings.Builder
	tag := Tag(prompt)
	for n := range tokens {
		fmt.Fprintf(&b, "%s.%d ", tag, n)
	}
	return b.String()
}

// readStream reads server-sent events and reports whether the stream ended with [DONE].
func readStream(resp *fasthttp.Response, a *Answer) (bool, error) {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	lines := bufio.NewScanner(resp.BodyStream())
	lines.Buffer(make([]byte, 0, 4<<10), 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return true, nil
		}
		var ev struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Type string `json:"type"`
			} `json:"error"`
		}
		if err := json.Unmarshal(data, &ev); err != nil {
			return false, eris.Wrap(err, "decode event")
		}
		if ev.Error != nil {
			a.Type = strings.TrimPrefix(ev.Error.Type, "urn:mustardseam:problem:")
			return false, nil
		}
		for _, c := range ev.Choices {
			if a.FirstTokenReceived.IsZero() && c.Delta.Content != "" {
				a.FirstTokenReceived = time.Now()
			}
			text.WriteString(c.Delta.Content)
		}
	}
	return false, lines.Err()
}
