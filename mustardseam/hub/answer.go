package hub

import (
	"bytes"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
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

// send sends a value as JSON in answer to a request, or status 503 if the answers exceed their memory because peers do not read theirs.
func (a *messageAccount) send(c fiber.Ctx, v any) error {
	body, ok, err := a.encode(v)
	switch {
	case err != nil:
		return err
	case !ok:
		return refuse(c, errMessagesFull)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSONCharsetUTF8)
	held := int64(len(body))
	if held <= uncountedMessageBytes {
		return c.Send(body)
	}
	c.Response().SetBodyStream(&answer{Reader: bytes.NewReader(body), account: &a.answers, held: held}, len(body))
	return nil
}

// encode encodes an answer and reserves its memory, if it counts. It returns false if the memory is full. Answers are encoded one after
// the other, so that those that are refused take no more memory than one.
func (a *messageAccount) encode(v any) (body []byte, ok bool, err error) {
	a.encoding.Lock()
	defer a.encoding.Unlock()
	body, err = json.Marshal(v)
	if err != nil {
		return nil, false, eris.Wrap(err, "encode answer")
	}
	size := int64(len(body))
	return body, size <= uncountedMessageBytes || reserve(&a.answers, size, answerMemory), nil
}
