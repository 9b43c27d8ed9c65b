package duty

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	NoAction ActionKind = iota
	Grant               // Get a lease from the store.
	Acquire             // Write the record with the lease.
	Renew               // Renew the lease.
	End                 // End the lease.
)

// Action is a call that is to be made to the store.
type Action struct {
	Kind   ActionKind
	Lease  int64
	Record Record // Record to write.
	Expect int64  // Revision at which the record must be; 0 if there must be none.
}
