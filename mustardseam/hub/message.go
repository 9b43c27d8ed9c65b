package hub

import (
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
)

const (
	// messageMemory limits the bytes of the messages that are being read or handled, beyond uncountedMessageBytes of each. It admits
	// the longest message beside the buffer from which it was copied when it grew.
	messageMemory = 2*maxBodyBytes + 1
	// uncountedMessageBytes is the size up to which a message does not count. Nearly all are shorter.
	uncountedMessageBytes = 16 << 10
	// firstMessageBytes is the first size of the buffer of a message.
	firstMessageBytes = 4 << 10
)

var (
	errMessageTooLong = errors.New("message exceeds the size limit")
	errMessagesFull   = errors.New("messages exceed the memory limit")
)

// messageAccount counts the bytes of the messages that are being read or handled; its methods are safe for concurrent use.
type messageAccount struct {
	used atomic.Int64
}

// reserve reserves bytes; it returns false if they do not fit.
func (a *messageAccount) reserve(bytes int64) bool {
	if a.used.Add(bytes) > messageMemory {
		a.used.Add(-bytes)
		return false
	}
	return true
}

// message is a message of another instance. It must be released.
type message struct {
	account *messageAccount
	body    []byte
	held    int64 // Bytes reserved for body.
}

// decode reads the body of a request into v and releases its memory.
func (a *messageAccount) decode(c fiber.Ctx, v any) error {
	m := message{account: a}
	defer m.release()
	if err := m.read(c.Request().BodyStream()); err != nil {
		return err
	}
	return json.Unmarshal(m.body, v)
}

// read reads the body; nil is an empty one.
func (m *message) read(r io.Reader) error {
	for r != nil {
		if err := m.grow(); err != nil {
			return err
		}
		n, err := r.Read(m.body[len(m.body):cap(m.body)])
		m.body = m.body[:len(m.body)+n]
		switch {
		case len(m.body) > maxBodyBytes:
			return errMessageTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// grow makes room for at least one byte. The memory of a long message is reserved first.
func (m *message) grow() error {
	if len(m.body) < cap(m.body) {
		return nil
	}
	size := min(max(firstMessageBytes, 2*cap(m.body)), maxBodyBytes+1)
	held := int64(0)
	if size > uncountedMessageBytes {
		held = int64(size)
	}
	if !m.account.reserve(held) {
		return errMessagesFull
	}
	m.body = append(make([]byte, 0, size), m.body...)
	m.release()
	m.held = held
	return nil
}

func (m *message) release() {
	m.account.used.Add(-m.held)
	m.held = 0
}
