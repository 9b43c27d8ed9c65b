package claim

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"time"
)

// timeDigits is the number of digits of the time in a timed key. A shorter or longer number, such as an order number,
// is not a time.
const timeDigits = 10

// Key returns the journal key of a caller's idempotency key, which is scoped by team and route.
func Key(team, route, key string) string { return team + "\x00" + route + "\x00" + key }

// KeyTime returns the time in a timed key of the form `<unix seconds>-<anything>`. A scope prefix, which ends with a
// NUL byte, is skipped.
func KeyTime(key string) (time.Time, bool) {
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

// digest identifies a key in the journal. It is the first half of the key's SHA-256 hash, so that callers cannot
// construct colliding keys.
type digest [16]byte

func digestOf(key string) digest {
	sum := sha256.Sum256([]byte(key))
	return digest(sum[:16])
}
