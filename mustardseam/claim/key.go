package claim

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"time"
)

// timeDigits is the length of the time in a timed key. Shorter or longer numbers, as order numbers, are no times.
const timeDigits = 10

// Key returns the journal's key of a caller's idempotency key, which is scoped by team and route.
func Key(team, route, key string) string { return team + "\x00" + route + "\x00" + key }

// Time returns the time that a timed key `<unix seconds>-<anything>` carries. A scope ends with a NUL byte.
func Time(key string) (time.Time, bool) {
	key = key[strings.LastIndexByte(key, 0)+1:]
	if len(key) <= timeDigits || key[timeDigits] != '-' {
		return time.Time{}, false
	}
	seconds, err := strconv.ParseUint(key[:timeDigits], 10, 63)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(int64(seconds), 0), true
}

// digest stands for a key in the journal; it is half of SHA-256, so that callers cannot make keys collide.
type digest [16]byte

func digestOf(key string) digest {
	sum := sha256.Sum256([]byte(key))
	return digest(sum[:16])
}
