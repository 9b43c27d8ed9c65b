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

// speaks reports whether this program reads messages of the sender and the sender reads its answers.
func (p Proto) speaks() bool {
	return p.Readable() && p.Reads[0] <= MaxVersion && MaxVersion <= p.Reads[1]
}

// versioned is the part of a message that is the same in all versions.
type versioned struct {
	Proto Proto `json:"proto"`
}
