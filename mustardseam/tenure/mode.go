package tenure

// Mode names the state of a Tenure.
type Mode int

// The modes of a Tenure.
const (
	Follower Mode = iota // Another instance is home, or none is known.
	Waiting              // Took over; earlier rights may still run.
	Home                 // Home, confirmed by the store.
	Consent              // Home, confirmed by the consent of the candidates.
	Lapsed               // Home without a confirmation.
	Static               // Grants its static share.
	Closed               // Stopped; never grants again.
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"follower", "waiting", "home", "consent", "lapsed", "static", "closed"}[m]
}
