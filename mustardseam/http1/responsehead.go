package http1

import (
	"bufio"
	"bytes"
	"context"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
)

// readHead reads the next head of a response. It is parsed only when it has arrived as a whole, keeps the grammar, and the memory
// that it takes when parsed, many times its length for short lines, is reserved.
func (c *clientConn) readHead(ctx context.Context, r *Response) error {
	head, n, err := c.awaitHead(r.client.singletons)
	if err != nil {
		return err
	}
	r.head = head
	b, err := c.br.Peek(n)
	if err != nil {
		return err
	}
	if lines := bytes.Count(b, []byte("\n")) - uncountedLines; lines > 0 {
		if err := r.reserve(ctx, int64(lines)*bytesPerLine); err != nil {
			return err
		}
	}
	r.Header.SetNoDefaultContentType(true)
	if err := r.Header.Read(bufio.NewReaderSize(bytes.NewReader(b), n)); err != nil {
		return err
	}
	_, err = c.br.Discard(n)
	return err
}

// awaitHead waits until the read buffer begins with a whole head, and returns its length. It fails at once if a line cannot belong
// to a head.
func (c *clientConn) awaitHead(singletons *rfc9112.Singletons) (rfc9112.Head, int, error) {
	checker := rfc9112.NewChecker(singletons)
	for {
		b, _ := c.br.Peek(c.br.Buffered())
		if head, n, err := checker.Check(b); err != nil || n > 0 {
			return head, n, err
		}
		if len(b) == c.br.Size() {
			return rfc9112.Head{}, 0, &fasthttp.ErrSmallBuffer{}
		}
		if _, err := c.br.Peek(len(b) + 1); err != nil {
			return rfc9112.Head{}, 0, err
		}
	}
}
