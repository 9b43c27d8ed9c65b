package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	authHeader = "Authorization"
	authScheme = "Mustardseam "
	// maxSkew bounds the age of a signature, so that a recorded call cannot be replayed later.
	maxSkew = 60 * time.Second
)

// sign returns the value of the authorization header of a call.
func sign(key []byte, now time.Time, path string, body []byte) string {
	at := strconv.FormatInt(now.Unix(), 10)
	return authScheme + at + "." + mac(key, at, path, body)
}

// verify reports whether the header was made with one of the keys.
func verify(keys [][]byte, now time.Time, header, path string, body []byte) bool {
	at, sum, ok := strings.Cut(strings.TrimPrefix(header, authScheme), ".")
	if !ok || !strings.HasPrefix(header, authScheme) {
		return false
	}
	sec, err := strconv.ParseInt(at, 10, 64)
	if err != nil || now.Sub(time.Unix(sec, 0)).Abs() > maxSkew {
		return false
	}
	for _, key := range keys {
		if len(key) > 0 && hmac.Equal([]byte(sum), []byte(mac(key, at, path, body))) {
			return true
		}
	}
	return false
}

func mac(key []byte, at, path string, body []byte) string {
	h := hmac.New(sha256.New, key)
	_, _ = fmt.Fprintf(h, "%s\n%s\n", at, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
