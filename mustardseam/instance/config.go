package instance

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// Config is what an instance is told by its settings.
type Config struct {
	ID          string // Name of the instance; stable over restarts.
	Incarnation string // Unique per start.
	Region      string
	DataCentre  string

	CallerAddress string // IP:port each; port 0 picks a free one.
	PeerAddress   string
	AdminAddress  string

	Store           etcd.Config
	PlatformAddress string
	PlatformPoll    time.Duration
	PeerKey         []byte
	PreviousPeerKey []byte

	BodyBytes   int
	HeaderBytes int
	LineBytes   int // One line of an engine's stream.
	Connections int
	Waiting     int           // Requests that may wait for a permit.
	Idle        time.Duration // Of a caller's connection between requests.
	Request     time.Duration // Total time of a request.
	ReplayBytes int           // Memory for answers of keyed requests.

	Dial tcp.DialFunc // Opens connections to the store and to peers; nil for the usual way.

	Log zerolog.Logger
	Now func() time.Time // time.Now when nil.
}

// withDefaults fills what was left out.
func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.PlatformPoll, 2*time.Second)
	set(&c.Idle, time.Minute)
	set(&c.Request, 2*time.Minute)
	setInt := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setInt(&c.BodyBytes, 4<<20)
	setInt(&c.HeaderBytes, 16<<10)
	setInt(&c.LineBytes, 1<<20)
	setInt(&c.Connections, 4096)
	setInt(&c.Waiting, 1024)
	setInt(&c.ReplayBytes, 8<<20)
	c.Store.Dial = c.Dial
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
