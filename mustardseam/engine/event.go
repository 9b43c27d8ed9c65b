package engine

// Event is one server-sent event of a stream.
type Event struct {
	Data         []byte // JSON payload; nil after the regular end of the stream.
	Content      string // Text that the event adds to the output.
	FinishReason string // Reason why the output ended; empty before its end.
	Usage        *Usage // Token counts; nil if the event has none.
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens  int `json:"prompt_tokens"`
	OutputTokens  int `json:"completion_tokens"`
	TotalTokens   int `json:"total_tokens"` // Sum of prompt and output tokens.
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}
