package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/operator/strict"
)

// minKeyBytes is the shortest peer key: 128 bits, below which an HMAC key can be guessed.
const minKeyBytes = 16

// levels are the log levels in rising order.
var levels = []string{"debug", "info", "warn", "error"}

// name is the form of ids and names: they become segments of store keys and URLs.
var name = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// check collects the faults of values; fields that could not be decoded are passed over.
type check struct {
	at     map[string]int // Line by path.
	faulty map[string]bool
	faults FieldErrors
}

func newCheck(in *strict.Decoder) *check {
	c := &check{at: in.Lines, faulty: map[string]bool{}, faults: in.Faults}
	for _, f := range in.Faults {
		c.faulty[f.Path] = true
	}
	return c
}

func (c *check) settings(s *Settings) {
	c.oneOf("format", s.Format, Format)
	c.name("id", s.ID)
	c.name("data-centre", s.DataCentre)
	c.name("region", s.Region)
	c.listeners(s)
	c.store(s.Store)
	c.address("platform.address", s.Platform.Address)
	between(c, "platform.poll", s.Platform.Poll, 100*time.Millisecond, time.Minute)
	c.secret("peer-key", &s.PeerKey, true)
	c.secret("previous-peer-key", &s.PreviousPeerKey, false)
	c.limits(s.Limits)
	// A shorter grace would cut off requests in a planned stop.
	between(c, "grace", s.Grace, s.Limits.Request, 2*time.Hour)
	c.oneOf("log.level", s.Log.Level, levels...)
	c.oneOf("log.format", s.Log.Format, JSON, Console)
	between(c, "replay.bytes", s.Replay.Bytes, 0, 1<<30)
}

func (c *check) listeners(s *Settings) {
	c.address("caller-address", s.CallerAddress)
	c.address("peer-address", s.PeerAddress)
	c.address("admin-address", s.AdminAddress)
	if a, err := netip.ParseAddrPort(s.PeerAddress); err == nil && a.Addr().IsUnspecified() {
		c.add("peer-address", "must be an address that other instances can reach, not %s", a.Addr())
	}
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress {
		c.add("peer-address", "must differ from caller-address")
	}
	if s.AdminAddress != "" && (s.AdminAddress == s.CallerAddress || s.AdminAddress == s.PeerAddress) {
		c.add("admin-address", "must differ from caller-address and peer-address")
	}
}

func (c *check) store(s Store) {
	if len(s.Addresses) == 0 {
		c.add("store.addresses", "must list at least one IP:port")
	}
	for i, a := range s.Addresses {
		at := fmt.Sprintf("store.addresses[%d]", i)
		c.address(at, a)
		if slices.Contains(s.Addresses[:i], a) {
			c.add(at, "%q is listed twice", a)
		}
	}
	if s.Prefix == "" || !strings.HasSuffix(s.Prefix, "/") {
		c.add("store.prefix", "must end with a slash, so that it separates the keys of this system from others")
	}
	between(c, "store.timeout", s.Timeout, 50*time.Millisecond, 30*time.Second)
}

func (c *check) limits(l Limits) {
	between(c, "limits.body-bytes", l.BodyBytes, 1<<10, 64<<20)
	between(c, "limits.header-bytes", l.HeaderBytes, 1<<10, 1<<20)
	between(c, "limits.line-bytes", l.LineBytes, 1<<10, 16<<20)
	between(c, "limits.connections", l.Connections, 1, 65536)
	between(c, "limits.idle", l.Idle, time.Second, time.Hour)
	between(c, "limits.request", l.Request, time.Second, time.Hour)
	between(c, "limits.waiting", l.Waiting, 1, 100_000)
}

func (c *check) secret(path string, s *Secret, required bool) {
	switch {
	case s.IsZero() && !required:
		return
	case (s.File == "") == (s.Env == ""):
		c.add(path, "must have either file or env, as in {env: NAME}")
		return
	}
	if err := s.read(); err != nil {
		c.add(path, "cannot read file %q; it must exist and be readable", s.File)
		return
	}
	if len(s.value) < minKeyBytes {
		c.add(path, "%s must have at least %d bytes, has %d", s, minKeyBytes, len(s.value))
	}
}

func (c *check) address(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.add(path, "must be IP:port such as 10.0.0.1:8080, is %s", shown(value))
	}
}

func (c *check) name(path, value string) {
	if !name.MatchString(value) {
		c.add(path, "must be 1 to 63 lower-case letters, digits, hyphens or dots, is %s", shown(value))
	}
}

func (c *check) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(path, "must be one of %s, is %s", strings.Join(allowed, ", "), shown(value))
	}
}

func (c *check) add(path, format string, args ...any) {
	if c.faulty[path] {
		return
	}
	c.faulty[path] = true
	c.faults = append(c.faults, FieldError{Path: path, Line: c.at[path], Reason: fmt.Sprintf(format, args...)})
}

func between[T int | time.Duration](c *check, path string, value, low, high T) {
	if value < low || value > high {
		c.add(path, "must be %v to %v, is %v", low, high, value)
	}
}

// shown quotes a value for a message.
func shown(value string) string {
	if value == "" {
		return "missing"
	}
	return strconv.Quote(value)
}
