package caller

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

func itoa(n int) string { return strconv.Itoa(n) }

const chatBody = `{"model":"sizing","messages":[{"role":"user","content":"hi"}]}`

// TestInvalidRequestsRefused guards against invalid input that reaches the scheduler or is refused without a reason,
// and against refusals that are not in the documented form.
func TestInvalidRequestsRefused(t *testing.T) {
	const post = "POST /v1/chat/completions"
	long := strings.Repeat("x", 70<<10)
	member := func(m string) string { return strings.TrimSuffix(chatBody, "}") + "," + m + "}" }
	prompt := func(p string) string { return `{"model":"sizing","prompt":` + p + `}` }
	tests := []struct {
		name, line, header, body string
		status                   int
		kind, detail             string
	}{
		{"unknown path", "GET /v2/models", "", "", 404, "not-found", ""},
		{"unknown method", "GET /v1/chat/completions", "", "", 405, "method-not-allowed", ""},
		{"no key", post, "Authorization: \r\n", chatBody, 401, "unauthorized", "required"},
		{"other authorization scheme", post, "Authorization: Basic key-1\r\n", chatBody, 401, "unauthorized", "required"},
		{"unknown key", post, "Authorization: Bearer key-2\r\n", chatBody, 401, "unauthorized", "no team"},
		{"unknown model", post, "", strings.Replace(chatBody, "sizing", "other", 1), 404, "unknown-model", "other"},
		{"model is a service", post, "", strings.Replace(chatBody, "sizing", "leather", 1), 404, "unknown-model", "leather"},
		{"service is a model", "POST /services/sizing/x", "", "", 404, "unknown-service", "sizing"},
		{"invalid JSON", post, "", `{"model"`, 400, "bad-request", "JSON"},
		{"not an object", post, "", `[1]`, 400, "bad-request", "JSON object"},
		{"null", post, "", `null`, 400, "bad-request", "messages"},
		{"invalid UTF-8", post, "", strings.Replace(chatBody, "hi", "\xff", 1), 400, "bad-request", "UTF-8"},
		{"deep nesting", post, "", strings.Repeat("[", 50_000), 400, "bad-request", "JSON"},
		{"compressed body", post, "Content-Encoding: gzip\r\n", "\x1f\x8b", 415, "unsupported-encoding", ""},
		{"no messages", post, "", `{"model":"sizing","messages":[]}`, 400, "bad-request", "messages"},
		{"messages of the wrong type", post, "", `{"model":"sizing","messages":"hi"}`, 400, "bad-request", "messages"},
		{"no role", post, "", strings.Replace(chatBody, "role", "Role", 1), 400, "bad-request", "messages[0].role"},
		{"content of the wrong type", post, "", strings.Replace(chatBody, `"hi"`, "7", 1), 400, "bad-request", "messages[0].content"},
		{"part of the wrong type", post, "", strings.Replace(chatBody, `"hi"`, `[{"text":7}]`, 1), 400, "bad-request", "messages[0].content"},
		{"model of the wrong type", post, "", strings.Replace(chatBody, `"sizing"`, "7", 1), 400, "bad-request", "model"},
		{"stream of the wrong type", post, "", member(`"stream":"yes"`), 400, "bad-request", "stream"},
		{"negative max_tokens", post, "", member(`"max_tokens":-1`), 400, "bad-request", "max_tokens"},
		{"max_tokens out of range", post, "", member(`"max_tokens":1e40`), 400, "bad-request", "max_tokens"},
		{"several choices", post, "", member(`"n":2`), 400, "bad-request", "n must be 1"},
		{"zero choices", post, "", member(`"n":0`), 400, "bad-request", "n must be 1"},
		{"several choices next to another case", post, "", member(`"n":2,"N":1`), 400, "bad-request", "n must be 1"},
		{"long user", post, "", member(`"user":"` + long[:300] + `"`), 400, "bad-request", "user"},
		{"several prompts", "POST /v1/completions", "", prompt(`["a","b"]`), 400, "bad-request", "one prompt"},
		{"no prompt", "POST /v1/completions", "", `{"model":"sizing"}`, 400, "bad-request", "prompt"},
		{"prompt of the wrong type", "POST /v1/completions", "", prompt(`{"a":1}`), 400, "bad-request", "prompt"},
		{"tier not allowed to the team", post, "Mustardseam-Tier: gold\r\n", chatBody, 403, "tier-not-allowed", "fitting, notes"},
		{"timeout of the wrong type", post, "Mustardseam-Timeout: soon\r\n", chatBody, 400, "bad-request", "Mustardseam-Timeout"},
		{"timeout is NaN", post, "Mustardseam-Timeout: NaN\r\n", chatBody, 400, "bad-request", "Mustardseam-Timeout"},
		{"infinite timeout", post, "Mustardseam-Timeout: inf\r\n", chatBody, 400, "bad-request", "Mustardseam-Timeout"},
		{"negative timeout", post, "Mustardseam-Timeout: -1\r\n", chatBody, 400, "bad-request", "Mustardseam-Timeout"},
		{"non-idempotent of the wrong type", post, "Mustardseam-Non-Idempotent: yes\r\n", chatBody, 400, "bad-request", "true or false"},
		{"empty key", post, "Idempotency-Key: \r\n", chatBody, 400, "bad-request", "Idempotency-Key"},
		{"long key", post, "Idempotency-Key: " + long[:257] + "\r\n", chatBody, 400, "bad-request", "256"},
		{"key with non-ASCII bytes", post, "Idempotency-Key: \xff\r\n", chatBody, 400, "bad-request", "ASCII"},
		{"repeated key", post, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", chatBody, 400, "bad-request", "repeated"},
		{"huge body", post, "", long, 413, "body-too-large", ""},
		{"huge header", post, "X-Long: " + long[:5000] + "\r\n", chatBody, 431, "header-too-large", ""},
		{"line feed in a header name", post, "X-A\n: b\r\n", chatBody, 400, "bad-request", ""},
		{"repeated Content-Length", post, "Content-Length: 3\r\n", chatBody, 400, "bad-request", ""},
	}
	f := newFakeScheduler()
	addr := startServer(t, f, defaultConfig)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := sendRequest(t, addr, tt.line, tt.header, tt.body)
			assert.Equal(t, resp.StatusCode, tt.status, "%s", body)
			assert.Equal(t, resp.Header.Get("Content-Type"), "application/problem+json")
			var p map[string]any
			assert.NilError(t, json.Unmarshal([]byte(body), &p))
			assert.Equal(t, p["type"], "urn:mustardseam:problem:"+tt.kind, "%s", body)
			assert.Equal(t, p["status"], float64(tt.status))
			assert.Equal(t, p["title"], strings.ReplaceAll(tt.kind, "-", " "))
			assert.Equal(t, p["not-run"], true)
			assert.Assert(t, strings.Contains(p["detail"].(string), tt.detail) && p["detail"] != "", "%s", body)
			assert.Equal(t, resp.Header.Get("WWW-Authenticate") != "", tt.status == 401)
		})
	}
	assert.Equal(t, f.opened, 0)
}

// TestSchedulerProblemSent guards against a refusal of the scheduler that loses its Retry-After or its not-run member.
func TestSchedulerProblemSent(t *testing.T) {
	tests := []struct {
		name       string
		problem    *Problem
		retryAfter string
	}{
		{"known Retry-After", NewProblem("queue-full", 503, true, "full").WithRetryAfter(1100 * time.Millisecond), "2"},
		{"unknown Retry-After", NewProblem("retry-budget-exhausted", 503, true, "full"), "1"},
		{"may have run", NewProblem("outcome-unknown", 502, false, "lost"), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeScheduler()
			f.problem = tt.problem
			resp, body := sendRequest(t, startServer(t, f, defaultConfig), "POST /v1/chat/completions", "", chatBody)
			assert.Equal(t, resp.Header.Get("Retry-After"), tt.retryAfter)
			var p Problem
			assert.NilError(t, json.Unmarshal([]byte(body), &p))
			p.RetryAfter = tt.problem.RetryAfter
			assert.DeepEqual(t, &p, tt.problem)
		})
	}
	f := newFakeScheduler()
	f.cfg = nil
	resp, _ := sendRequest(t, startServer(t, f, defaultConfig), "GET /v1/models", "", "")
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
}

// TestRequestParsing guards against a request that reaches the scheduler with other values than the caller sent.
func TestRequestParsing(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 8)
	hash := xxhash.Sum64String("user:" + long[:blockBytes-5])
	tests := []struct {
		name, line, header, body string
		want                     Request // Only the fields that are compared; Deadline only if it is set.
		prefixLen                int
	}{
		{"chat", "POST /v1/chat/completions", "", chatBody, Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 2}, 0},
		{"path in mixed case", "POST /V1/Chat/Completions/", "", chatBody, Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 2}, 0},
		{"scheme in mixed case", "POST /v1/chat/completions", "Authorization: bEARER  key-1\r\n", chatBody, Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 2}, 0},
		{"long prompt", "POST /v1/chat/completions", "", strings.Replace(chatBody, "hi", long, 1), Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 33}, 2},
		{
			"list of parts", "POST /v1/chat/completions", "",
			strings.Replace(chatBody, `"hi"`, `[{"type":"text","text":"`+long[:100]+`"},{"type":"image_url"},{"text":"`+long[100:]+`"}]`, 1),
			Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 33},
			2,
		},
		{"tool call without content", "POST /v1/chat/completions", "", strings.Replace(chatBody, `"hi"`, "null", 1), Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 1}, 0},
		{"unknown members", "POST /v1/chat/completions", "", `{"x":[{}],"N":9,` + chatBody[1:], Request{Path: chatCompletionsPath, Chat: true, PromptTokens: 2}, 0},
		{"prompt", "POST /v1/completions", "", `{"model":"sizing","prompt":"hello you","user":"u1","stream":null}`, Request{Path: completionsPath, PromptTokens: 2, Group: "u1"}, 0},
		{"list of one prompt", "POST /v1/completions", "", `{"model":"sizing","prompt":["hello you"],"n":1}`, Request{Path: completionsPath, PromptTokens: 2}, 0},
		{"tokens", "POST /v1/completions", "", `{"model":"sizing","prompt":[5,6,7],"max_tokens":9}`, Request{Path: completionsPath, PromptTokens: 3, MaxOutputTokens: 9}, 0},
		{"list of tokens", "POST /v1/completions", "", `{"model":"sizing","prompt":[[5,6,7]]}`, Request{Path: completionsPath, PromptTokens: 3}, 0},
		{"huge max_tokens", "POST /v1/completions", "", `{"model":"sizing","prompt":"a","max_tokens":9223372036854775807}`, Request{Path: completionsPath, PromptTokens: 1, MaxOutputTokens: maxCountedOutputTokens}, 0},
		{"service", "PUT /services/leather/a%2Fb//c?q=1&q=%20", "", "\x00", Request{Path: "/a%2Fb//c?q=1&q=%20", PromptTokens: 1, NonIdempotent: true}, 0},
		{"service without a path", "GET /services/leather?q", "", "", Request{Path: "/?q", PromptTokens: 1, NonIdempotent: true}, 0},
		{"absolute URI of a service", "GET http://a/services/leather/x", "", "", Request{Path: "/x", PromptTokens: 1, NonIdempotent: true}, 0},
		{
			"headers", "POST /v1/completions", "Mustardseam-Tier: notes\r\nMustardseam-Timeout: 2.5\r\nIdempotency-Key: 17-a|b\r\nMustardseam-Non-Idempotent: true\r\n",
			`{"model":"sizing","prompt":"a"}`,
			Request{Path: completionsPath, PromptTokens: 1, IdempotencyKey: "17-a|b", NonIdempotent: true, Deadline: testNow.Add(2500 * time.Millisecond)},
			0,
		},
		{"non-idempotent route cannot be waived", "GET /services/leather/x", "Mustardseam-Non-Idempotent: false\r\n", "", Request{Path: "/x", PromptTokens: 1, NonIdempotent: true}, 0},
		{"timeout longer than the route's", "POST /v1/completions", "Mustardseam-Timeout: 1e9\r\n", `{"model":"sizing","prompt":"a"}`, Request{Path: completionsPath, PromptTokens: 1, Deadline: testNow.Add(20 * time.Second)}, 0},
	}
	f := newFakeScheduler()
	addr := startServer(t, f, defaultConfig)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := sendRequest(t, addr, tt.line, tt.header, tt.body)
			assert.Equal(t, resp.StatusCode, 200, "%s", body)
			r := f.last()
			assert.Equal(t, string(r.Body), tt.body)
			assert.Equal(t, len(r.Prefix), tt.prefixLen)
			if tt.prefixLen > 0 {
				assert.Equal(t, r.Prefix[0], hash)
			}
			if !tt.want.Deadline.IsZero() {
				assert.Assert(t, r.Deadline.Equal(tt.want.Deadline), "%v", r.Deadline)
			}
			assert.Equal(t, r.Tier.Name == "notes", strings.Contains(tt.header, "Tier: notes"))
			got := Request{
				Path: r.Path, Chat: r.Chat, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Group: r.Group, IdempotencyKey: r.IdempotencyKey,
				NonIdempotent: r.NonIdempotent, Deadline: tt.want.Deadline,
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestServiceHeaderForwarding guards against forwarding the caller's key or hop-by-hop headers to a service, against
// changed bodies, and against lost headers of the response.
func TestServiceHeaderForwarding(t *testing.T) {
	f := newFakeScheduler()
	f.status, f.body, f.header = 418, "\x00tea", map[string]string{"Etag": `"7"`, "Content-Type": "image/png", "X-A": "a\r\nX-Injected: 1"}
	resp, body := sendRequest(t, startServer(t, f, defaultConfig), "POST /services/leather/x", "X-Custom: 1\r\nX-Hop: 2\r\nAccept: a\r\nAccept: b\r\n"+
		"Connection: X-Hop\r\nTE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: 5\r\nProxy-Authorization: key-1\r\nContent-Encoding: gzip\r\n"+
		"Idempotency-Key: k1\r\nMustardseam-Tier: notes\r\nContent-Type: multipart/form-data; boundary=q\r\n", "--q\r\nbroken")
	assert.Equal(t, resp.StatusCode, 418)
	assert.Equal(t, body, "\x00tea")
	assert.Equal(t, resp.Header.Get("Etag"), `"7"`)
	assert.Equal(t, resp.Header.Get("X-Injected"), "")
	assert.Equal(t, resp.Header.Get("Content-Type"), "image/png")
	r := f.last()
	assert.Equal(t, string(r.Body), "--q\r\nbroken")
	assert.DeepEqual(t, r.Header, map[string]string{
		"X-Custom": "1", "Accept": "a, b", "Content-Encoding": "gzip", "Idempotency-Key": "k1",
		"Content-Type": "multipart/form-data; boundary=q",
	})
}

// TestServiceResponseWithoutType guards against a media type that the service did not send.
func TestServiceResponseWithoutType(t *testing.T) {
	f := newFakeScheduler()
	f.status, f.body, f.header = 200, "tea", map[string]string{"X-A": "b"}
	resp, body := sendRequest(t, startServer(t, f, defaultConfig), "POST /services/leather/x", "Idempotency-Key: k1\r\n", "body")
	assert.Equal(t, body, "tea")
	assert.Equal(t, resp.Header.Get("X-A"), "b")
	assert.Assert(t, len(resp.Header.Values("Content-Type")) == 0, "%v", resp.Header)
}

// TestModelList guards against a list that clients of the API cannot parse or that contains services.
func TestModelList(t *testing.T) {
	_, body := sendRequest(t, startServer(t, newFakeScheduler(), defaultConfig), "GET /v1/models", "", "")
	assert.Equal(t, body, `{"data":[{"id":"sizing","object":"model","created":0,"owned_by":"mustardseam"}],"object":"list"}`)
}

// BenchmarkPrompt measures parsing a request body and hashing its prompt.
func BenchmarkPrompt(b *testing.B) {
	tests := []struct {
		name string
		text int // Bytes.
	}{{"short", 100}, {"long", 32 << 10}}
	for _, bb := range tests {
		b.Run(bb.name, func(b *testing.B) {
			body := []byte(strings.Replace(chatBody, "hi", strings.Repeat("0123456789abcdef", bb.text/16+1)[:bb.text], 1))
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				c, err := parseCompletion(body, true)
				if err != nil {
					b.Fatal(err)
				}
				prefixHashes(c.prompt.text)
			}
		})
	}
}
