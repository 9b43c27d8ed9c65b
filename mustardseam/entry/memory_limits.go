package entry

const (
	// fixedMemory is the part of the memory of a process that the program itself, its view of the fleet and, on the hub, the
	// state of the other instances take. Without callers the program takes 22 MB, and 25 MB on a large fleet.
	fixedMemory = 40 << 20
	// connMemory is what an open connection takes: its read buffer and the stack of its goroutine.
	connMemory = 12 << 10
	// unmanagedMemory is the part of the process that the Go runtime does not count: the program text and the C library.
	unmanagedMemory = 24 << 20
	// minRequestMemory admits the largest request within the limits of the configuration.
	minRequestMemory = 16 << 20
	// minAnswerMemory admits the largest answer with the buffer from which it was copied when it grew, both in the part that
	// large answers may use.
	minAnswerMemory = 24 << 20
)

// MemoryLimits holds the limits of the memory of an instance in bytes; 0 means a default.
type MemoryLimits struct {
	Requests int64 // Limit of all requests that are being read or handled.
	Answers  int64 // Limit of the answers that are held until they are sent.
	Runtime  int64 // Soft limit of the Go runtime; 0 means none.
}

// NewMemoryLimits divides the memory of a process, in bytes, that has at most maxConns connections. A third of what the
// program and the connections leave is for requests and a third for answers; the rest is for garbage not yet collected. A tenth
// is left above the limit of the runtime, which large buffers that are allocated during a collection exceed.
func NewMemoryLimits(memory int64, maxConns int) MemoryLimits {
	if memory <= 0 {
		return MemoryLimits{}
	}
	part := (memory - fixedMemory - int64(maxConns)*connMemory) / 3
	return MemoryLimits{
		Requests: max(minRequestMemory, part), Answers: max(minAnswerMemory, part),
		Runtime: max(memory/2, memory-memory/10-unmanagedMemory),
	}
}
