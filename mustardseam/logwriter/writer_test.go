package logwriter

import (
	"bytes"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWriteNeverBlocks guards against requests that block because nobody reads the log.
func TestWriteNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	j := NewWriter(w)
	for range 2 * maxBufferedLines {
		n, err := j.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, len("line\n"))
	}
	assert.Assert(t, j.Dropped() >= maxBufferedLines/2)
	assert.NilError(t, r.Close())
	j.Close(time.Minute)
}

// TestCloseWritesBufferedLines guards against lines that are lost when the process ends.
func TestCloseWritesBufferedLines(t *testing.T) {
	var b bytes.Buffer
	j := NewWriter(&b)
	line := []byte("one\n")
	_, err := j.Write(line)
	assert.NilError(t, err)
	copy(line, "two\n") // The logger reuses its buffer.
	j.Close(time.Minute)
	assert.Equal(t, b.String(), "one\n")
	_, err = j.Write([]byte("late\n"))
	assert.NilError(t, err)
}
