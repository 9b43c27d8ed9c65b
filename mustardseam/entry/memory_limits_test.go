package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMemoryLimits guards against parts that together exceed the memory of a machine, or that are too small for the largest
// request or answer.
func TestMemoryLimits(t *testing.T) {
	assert.Equal(t, NewMemoryLimits(0, 100), MemoryLimits{})
	// A request of 4 MB takes up to 6 MB while it is read, an answer of 8 MB up to 16 MB, both in three quarters of their parts.
	const largestRequest, largestAnswer = 8 << 20, 17 << 20
	tests := []struct{ memoryMB, conns int64 }{{96, 300}, {184, 2900}, {284, 2900}, {424, 9278}, {536, 9278}}
	for _, test := range tests {
		memory := test.memoryMB * 1_000_000
		m := NewMemoryLimits(memory, int(test.conns))
		assert.Assert(t, m.Requests-m.Requests/4 >= largestRequest, "%d MB", test.memoryMB)
		assert.Assert(t, m.Answers-m.Answers/4 >= largestAnswer, "%d MB", test.memoryMB)
		assert.Assert(t, m.Requests+m.Answers+test.conns*connMemory+fixedMemory <= memory, "%d MB", test.memoryMB)
		assert.Assert(t, m.Runtime+unmanagedMemory <= memory, "%d MB", test.memoryMB)
	}
}
