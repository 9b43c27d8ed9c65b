package journal

import (
	"bytes"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNeverBlocks guards against requests that wait for a reader of the log.
func TestNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	j := NewWriter(w)
	for range 2 * bufferLines {
		n, err := j.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, len("line\n"))
	}
	assert.Assert(t, j.Dropped() >= bufferLines/2)
	assert.NilError(t, r.Close())
	j.Close(time.Minute)
}

// TestClose guards against lines that are lost at the end of the process.
func TestClose(t *testing.T) {
	var b bytes.Buffer
	j := NewWriter(&b)
	line := []byte("one\n")
	_, err := j.Write(line)
	assert.NilError(t, err)
	copy(line, "two\n") // The logger uses its buffer again.
	j.Close(time.Minute)
	assert.Equal(t, b.String(), "one\n")
	_, err = j.Write([]byte("late\n"))
	assert.NilError(t, err)
}
