package tenure

// Mode is the state of a Tenure.
type Mode int

// The modes of a Tenure.
const (
	Follower Mode = iota // Another instance is home, or no home is known.
	Waiting              // Home, but rights of earlier homes or permits granted under them may not have expired yet.
	Home                 // Home, confirmed by the store.
	Consent              // Home, confirmed by the consent of the candidates.
	Lapsed               // Home without a valid confirmation.
	Static               // Not home; grants its static share of the capacity.
	Stopped              // Stopped; never grants again.
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"follower", "waiting", "home", "consent", "lapsed", "static", "closed"}[m]
}
