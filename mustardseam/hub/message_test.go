package hub

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestMessageMemory guards against messages that together take more memory than allowed, and against memory that stays reserved.
func TestMessageMemory(t *testing.T) {
	errBroken := errors.New("broken")
	long := strings.Repeat("x", maxBodyBytes)
	tests := []struct {
		name string
		used int64 // Bytes that other messages have reserved.
		body io.Reader
		want error
	}{
		{"no body", messageMemory, nil, nil},
		{"short beside others", messageMemory, strings.NewReader(long[:uncountedMessageBytes-1]), nil},
		{"long beside others", messageMemory, strings.NewReader(long[:uncountedMessageBytes+1]), errMessagesFull},
		{"longest", 0, strings.NewReader(long), nil},
		{"too long", 0, strings.NewReader(long + "x"), errMessageTooLong},
		{"broken off", 0, io.MultiReader(strings.NewReader(long[:1<<20]), iotest.ErrReader(errBroken)), errBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := &messageAccount{}
			a.used.Store(test.used)
			m := message{account: a}
			assert.Assert(t, errors.Is(m.read(test.body), test.want))
			assert.Assert(t, a.used.Load() <= messageMemory)
			m.release()
			assert.Equal(t, a.used.Load(), test.used)
		})
	}
}
