package hub

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
)

// answerMemory limits the bytes of the answers that are being sent, beyond uncountedMessageBytes of each. It admits the longest.
const answerMemory = 2 * maxBodyBytes

// answer is the body of an answer; it releases its memory when it is closed, which the server does once it is sent or has failed.
type answer struct {
	*bytes.Reader
	account *atomic.Int64
	held    int64
	closing sync.Once
}

// Close releases the memory.
func (a *answer) Close() error {
	a.closing.Do(func() { a.account.Add(-a.held) })
	return nil
}

// send sends JSON as the answer to a request, or status 503 if the answers exceed their memory because peers do not read theirs.
func (a *messageAccount) send(c fiber.Ctx, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSONCharsetUTF8)
	held := int64(len(body))
	if held <= uncountedMessageBytes {
		return c.Send(body)
	}
	if !reserve(&a.answers, held, answerMemory) {
		return refuse(c, errMessagesFull)
	}
	c.Response().SetBodyStream(&answer{Reader: bytes.NewReader(body), account: &a.answers, held: held}, len(body))
	return nil
}
