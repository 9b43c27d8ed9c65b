package instance

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// Config holds the settings of an instance.
type Config struct {
	ID          string // Name of the instance; the same across restarts.
	Incarnation string // Unique to each start of the instance.
	Region      string
	DataCentre  string

	CallerAddress string // IP:port, as are the two below; port 0 selects a free port.
	PeerAddress   string
	AdminAddress  string

	Store                etcd.Config
	PlatformAddress      string
	PlatformPollInterval time.Duration
	PeerKey              []byte
	PreviousPeerKey      []byte

	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxLineBytes   int // Largest size of one line of an engine's stream, in bytes.
	MaxConns       int
	MaxWaiting     int           // Largest number of requests that wait for a permit.
	IdleTimeout    time.Duration // Longest idle time of a caller's connection between requests.
	RequestTimeout time.Duration // Longest total time of a request.
	MaxReplayBytes int           // Memory for stored answers of keyed requests, in bytes.

	Dial tcp.DialFunc // Opens connections to the store and to peers; nil selects the default dialer.

	Log zerolog.Logger
	Now func() time.Time // time.Now when nil.
}

// withDefaults returns the configuration with default values for unset fields.
func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.PlatformPollInterval, 2*time.Second)
	set(&c.IdleTimeout, time.Minute)
	set(&c.RequestTimeout, 2*time.Minute)
	setInt := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setInt(&c.MaxBodyBytes, 4<<20)
	setInt(&c.MaxHeaderBytes, 16<<10)
	setInt(&c.MaxLineBytes, 1<<20)
	setInt(&c.MaxConns, 4096)
	setInt(&c.MaxWaiting, 1024)
	setInt(&c.MaxReplayBytes, 8<<20)
	c.Store.Dial = c.Dial
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
