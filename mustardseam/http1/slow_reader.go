package http1

import (
	"cmp"
	"slices"
	"time"
)

// minSendTime is how long an answer must have been waiting for its caller to read before it can be given up. A caller within the
// limits reads the largest answer in less.
const minSendTime = time.Second

// beginSending records that an answer with a body of the given length is being sent, until the returned function is called.
func (c *serverConn) beginSending(bytes int) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending, c.sendingSince = int64(bytes), time.Now()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sending = 0
	}
}

// sendingTime returns the length of the body that is being sent, 0 for none or one that was given up, and for how long it has
// been.
func (c *serverConn) sendingTime(now time.Time) (bytes int64, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, 0
	}
	return c.sending, now.Sub(c.sendingSince)
}

// abandonAnswer resets the connection, so that the answer does not look complete.
func (c *serverConn) abandonAnswer() {
	c.mu.Lock()
	c.abandoned = true
	c.mu.Unlock()
	c.setLinger(0)
	_ = c.conn.Close()
}

// AbandonSlowReaders gives up the answers that callers have been reading longest, beginning with the longest bodies, until they
// have released about the given number of bytes. Answers shorter than a large request or that began less than minSendTime ago are
// not given up. It does not wait.
func (s *Server) AbandonSlowReaders(bytes int64) {
	type answer struct {
		conn  *serverConn
		bytes int64
		score float64
	}
	var answers []answer
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		if n, since := c.sendingTime(now); n > largeRequestBytes && since >= minSendTime {
			answers = append(answers, answer{c, n, float64(n) * float64(since)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answers, func(a, b answer) int { return cmp.Compare(b.score, a.score) })
	for _, a := range answers {
		if bytes <= 0 {
			return
		}
		bytes -= a.bytes
		s.abandonedAnswers.Add(1)
		a.conn.abandonAnswer()
	}
}
