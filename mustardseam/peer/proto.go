package peer

// The range of protocol versions that this program reads. It writes MaxVersion.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Proto is the range of protocol versions that the sender of a message reads, and the version that it writes.
type Proto struct {
	Reads  [2]int `json:"reads"` // Lowest and highest version.
	Writes int    `json:"writes"`
}

// CurrentProto returns the protocol versions of this program.
func CurrentProto() Proto { return Proto{Reads: [2]int{MinVersion, MaxVersion}, Writes: MaxVersion} }

// Readable reports whether this program can read messages of the sender.
func (p Proto) Readable() bool { return p.Writes >= MinVersion && p.Writes <= MaxVersion }

// compatible reports whether this program can read messages of the sender and the sender can read this program's
// answers.
func (p Proto) compatible() bool {
	return p.Readable() && p.Reads[0] <= MaxVersion && MaxVersion <= p.Reads[1]
}

// protoHeader is the part of a message that is the same in all versions.
type protoHeader struct {
	Proto Proto `json:"proto"`
}
