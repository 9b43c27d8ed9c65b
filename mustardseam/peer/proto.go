package peer

// The versions of the protocol between instances that this program reads and writes.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Proto says which versions of the protocol the sender of a message reads and writes.
type Proto struct {
	Reads  [2]int `json:"reads"` // Lowest and highest.
	Writes int    `json:"writes"`
}

// Current returns the versions of this program.
func Current() Proto { return Proto{Reads: [2]int{MinVersion, MaxVersion}, Writes: MaxVersion} }

// Readable reports whether this program reads messages of the sender.
func (p Proto) Readable() bool { return p.Writes >= MinVersion && p.Writes <= MaxVersion }
