package engine

// Event is one server-sent event of a stream.
type Event struct {
	Data    []byte // JSON; nil when the stream has ended as it should.
	Content string // Text of the delta.
	Finish  string // Reason of the end; empty before it.
	Usage   *Usage
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt  int `json:"prompt_tokens"`
	Output  int `json:"completion_tokens"`
	Total   int `json:"total_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}
