package orders

// Faults are switched on while the service runs; each number counts down with the calls that it concerns.
type Faults struct {
	Down        bool // Closes each connection without an answer and without an execution.
	Refuse      int  // The next n calls are refused before admission: 503 with X-Not-Admitted.
	FailBefore  int  // The next n calls fail with status 500 before their execution.
	CrashBefore int  // The next n calls lose their connection before their execution.
	CrashAfter  int  // The next n calls lose their connection after their execution.
	Hang        int  // The next n calls are executed and get no answer until the service is closed.
}

// fault is what happens to one call.
type fault int

const (
	none fault = iota
	refuse
	failBefore
	crashBefore
	crashAfter
	hang
)

// next returns the fault of the next call and counts it down.
func (f *Faults) next() fault {
	if f.Down {
		return crashBefore
	}
	for _, one := range []struct {
		left *int
		kind fault
	}{
		{&f.Refuse, refuse},
		{&f.FailBefore, failBefore},
		{&f.CrashBefore, crashBefore},
		{&f.CrashAfter, crashAfter},
		{&f.Hang, hang},
	} {
		if *one.left > 0 {
			*one.left--
			return one.kind
		}
	}
	return none
}
