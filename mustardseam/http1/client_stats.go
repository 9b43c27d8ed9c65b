package http1

// ClientStats holds the state of the memory for answers of a Client.
type ClientStats struct {
	AnswerMemory   int64 // Bytes reserved for answers.
	MemoryLimit    int64 // Limit of AnswerMemory.
	RefusedAnswers int64 // Answers given up because they did not fit.
}

// Stats returns the state of the memory for answers.
func (c *Client) Stats() ClientStats {
	return ClientStats{
		AnswerMemory: c.answers.used.Load(), MemoryLimit: c.answers.limit, RefusedAnswers: c.refusedAnswers.Load(),
	}
}
