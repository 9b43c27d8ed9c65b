package hub

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"github.com/mustardseam/mustardseam/mustardseam/jsonsize"
)

const (
	// messageMemory limits the bytes of the messages that are being read or handled, beyond uncountedMessageBytes of each. It admits
	// the longest message beside the buffer from which it was copied when it grew.
	messageMemory = 2*maxBodyBytes + 1
	// uncountedMessageBytes is the size up to which a message does not count. Nearly all are shorter.
	uncountedMessageBytes = 16 << 10
	// uncountedDecodedBytes is the size up to which a decoded message does not count. It admits all messages of a small fleet.
	uncountedDecodedBytes = 64 << 10
	// firstMessageBytes is the first size of the buffer of a message.
	firstMessageBytes = 4 << 10
)

var (
	errMessageTooLong = errors.New("message exceeds the size limit")
	errMessagesFull   = errors.New("messages exceed the memory limit")
)

// messageAccount counts the bytes of the messages that are being read, handled or sent; its methods are safe for concurrent use.
type messageAccount struct {
	used    atomic.Int64 // Bytes of messages that are being read.
	decoded atomic.Int64 // Bytes of decoded messages that are being handled, as jsonsize.Decoded estimates them.
	answers atomic.Int64 // Bytes of answers that are being sent.

	encoding sync.Mutex // Held while an answer is encoded.
}

// reserve adds bytes to an account with a limit; it returns false if they do not fit.
func reserve(account *atomic.Int64, bytes, limit int64) bool {
	if account.Add(bytes) > limit {
		account.Add(-bytes)
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

// decode reads the body of a request into v. The caller must call release when v has been handled, also after an error.
func (a *messageAccount) decode(c fiber.Ctx, v any) (release func(), err error) {
	release = func() {}
	m := message{account: a}
	defer m.release()
	if err := m.read(c.Request().BodyStream()); err != nil {
		return release, err
	}
	size := jsonsize.Decoded(m.body)
	switch {
	case size > jsonsize.MaxDecoded:
		return release, errMessageTooLong
	case size > uncountedDecodedBytes:
		if !reserve(&a.decoded, size, jsonsize.MaxDecoded) {
			return release, errMessagesFull
		}
		release = func() { a.decoded.Add(-size) }
	}
	return release, json.Unmarshal(m.body, v)
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
	if !reserve(&m.account.used, held, messageMemory) {
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
