package orders

// Faults are failures that can be injected while the service runs; each affected call decrements its number.
type Faults struct {
	Down        bool // Closes each connection without an answer and without an execution.
	Refuse      int  // The next n calls are refused before admission: 503 with X-Not-Admitted.
	FailBefore  int  // The next n calls fail with status 500 before their execution.
	CrashBefore int  // The next n calls lose their connection before their execution.
	CrashAfter  int  // The next n calls lose their connection after their execution.
	Hang        int  // The next n calls are executed and get no answer; closing the service ends them.
}

// fault is the failure injected into one call.
type fault int

const (
	none fault = iota
	refuse
	failBefore
	crashBefore
	crashAfter
	hang
)

// takeNext returns the fault of the next call and decrements its number.
func (f *Faults) takeNext() fault {
	if f.Down {
		return crashBefore
	}
	for _, counter := range []struct {
		left *int
		kind fault
	}{
		{&f.Refuse, refuse},
		{&f.FailBefore, failBefore},
		{&f.CrashBefore, crashBefore},
		{&f.CrashAfter, crashAfter},
		{&f.Hang, hang},
	} {
		if *counter.left > 0 {
			*counter.left--
			return counter.kind
		}
	}
	return none
}
