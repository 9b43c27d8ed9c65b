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

// minPeerKeyBytes is the minimum length of a peer key: 128 bits, below which an HMAC key can be guessed.
const minPeerKeyBytes = 16

// logLevels are the log levels in ascending order.
var logLevels = []string{"debug", "info", "warn", "error"}

// namePattern matches valid ids and names, which become segments of store keys and URLs.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker collects the faults of values. Fields that could not be decoded are skipped.
type checker struct {
	lines       map[string]int  // Line of each field by its path.
	faultyPaths map[string]bool // Paths of the fields that already have a fault.
	faults      FieldErrors
}

func newChecker(decoder *strict.Decoder) *checker {
	c := &checker{lines: decoder.Lines, faultyPaths: map[string]bool{}, faults: decoder.Faults}
	for _, f := range decoder.Faults {
		c.faultyPaths[f.Path] = true
	}
	return c
}

func (c *checker) checkSettings(s *Settings) {
	c.checkOneOf("format", s.Format, Format)
	c.checkName("id", s.ID)
	c.checkName("data-centre", s.DataCentre)
	c.checkName("region", s.Region)
	c.checkListeners(s)
	c.checkStore(s.Store)
	c.checkAddress("platform.address", s.Platform.Address)
	checkRange(c, "platform.poll", s.Platform.PollInterval, 100*time.Millisecond, time.Minute)
	c.checkSecret("peer-key", &s.PeerKey, true)
	c.checkSecret("previous-peer-key", &s.PreviousPeerKey, false)
	c.checkLimits(s.Limits)
	// A shorter grace period would cut off requests during a planned stop.
	checkRange(c, "grace", s.GracePeriod, s.Limits.RequestTimeout, 2*time.Hour)
	c.checkOneOf("log.level", s.Log.Level, logLevels...)
	c.checkOneOf("log.format", s.Log.Format, JSON, Console)
	checkRange(c, "replay.bytes", s.Replay.MaxBytes, 0, 1<<30)
}

func (c *checker) checkListeners(s *Settings) {
	c.checkAddress("caller-address", s.CallerAddress)
	c.checkAddress("peer-address", s.PeerAddress)
	c.checkAddress("admin-address", s.AdminAddress)
	if a, err := netip.ParseAddrPort(s.PeerAddress); err == nil && a.Addr().IsUnspecified() {
		c.addFault("peer-address", "must be an address that other instances can reach, not %s", a.Addr())
	}
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress {
		c.addFault("peer-address", "must differ from caller-address")
	}
	if s.AdminAddress != "" && (s.AdminAddress == s.CallerAddress || s.AdminAddress == s.PeerAddress) {
		c.addFault("admin-address", "must differ from caller-address and peer-address")
	}
}

func (c *checker) checkStore(s Store) {
	if len(s.Addresses) == 0 {
		c.addFault("store.addresses", "must list at least one IP:port")
	}
	for i, a := range s.Addresses {
		path := fmt.Sprintf("store.addresses[%d]", i)
		c.checkAddress(path, a)
		if slices.Contains(s.Addresses[:i], a) {
			c.addFault(path, "%q is listed twice", a)
		}
	}
	if s.Prefix == "" || !strings.HasSuffix(s.Prefix, "/") {
		c.addFault("store.prefix", "must end with a slash, so that it separates the keys of this system from others")
	}
	checkRange(c, "store.timeout", s.Timeout, 50*time.Millisecond, 30*time.Second)
}

func (c *checker) checkLimits(l Limits) {
	checkRange(c, "limits.body-bytes", l.MaxBodyBytes, 1<<10, 64<<20)
	checkRange(c, "limits.header-bytes", l.MaxHeaderBytes, 1<<10, 1<<20)
	checkRange(c, "limits.line-bytes", l.MaxLineBytes, 1<<10, 16<<20)
	checkRange(c, "limits.connections", l.MaxConns, 1, 65536)
	checkRange(c, "limits.idle", l.IdleTimeout, time.Second, time.Hour)
	checkRange(c, "limits.request", l.RequestTimeout, time.Second, time.Hour)
	checkRange(c, "limits.waiting", l.MaxWaiting, 1, 100_000)
}

func (c *checker) checkSecret(path string, s *Secret, required bool) {
	switch {
	case s.IsZero() && !required:
		return
	case (s.File == "") == (s.Env == ""):
		c.addFault(path, "must have either file or env, as in {env: NAME}")
		return
	}
	if err := s.load(); err != nil {
		c.addFault(path, "cannot read file %q; it must exist and be readable", s.File)
		return
	}
	if len(s.value) < minPeerKeyBytes {
		c.addFault(path, "%s must have at least %d bytes, has %d", s, minPeerKeyBytes, len(s.value))
	}
}

func (c *checker) checkAddress(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.addFault(path, "must be IP:port such as 10.0.0.1:8080, is %s", quoteOrMissing(value))
	}
}

func (c *checker) checkName(path, value string) {
	if !namePattern.MatchString(value) {
		c.addFault(path, "must be 1 to 63 lower-case letters, digits, hyphens or dots, is %s", quoteOrMissing(value))
	}
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addFault(path, "must be one of %s, is %s", strings.Join(allowed, ", "), quoteOrMissing(value))
	}
}

func (c *checker) addFault(path, format string, args ...any) {
	if c.faultyPaths[path] {
		return
	}
	c.faultyPaths[path] = true
	c.faults = append(c.faults, FieldError{Path: path, Line: c.lines[path], Reason: fmt.Sprintf(format, args...)})
}

func checkRange[T int | time.Duration](c *checker, path string, value, low, high T) {
	if value < low || value > high {
		c.addFault(path, "must be %v to %v, is %v", low, high, value)
	}
}

// quoteOrMissing quotes a value for an error message.
func quoteOrMissing(value string) string {
	if value == "" {
		return "missing"
	}
	return strconv.Quote(value)
}
