package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	authHeader = "Authorization"
	authScheme = "Mustardseam "
	// maxSkew bounds the age of a signature and the difference between two clocks. A recorded call is rejected as a
	// replay within this time, and as too old afterwards.
	maxSkew = 30 * time.Second
	// nonceBytes and macBytes keep the header short, because it is a large part of an ask. RFC 2104 permits
	// truncation of an HMAC to half of its length.
	nonceBytes = 8
	macBytes   = sha256.Size / 2
)

// encoding encodes the nonce and the signature.
var encoding = base64.RawURLEncoding

// sign returns the Authorization header of a call to an address. The nonce distinguishes equal calls within one
// second, such as polls, from replays.
func sign(key []byte, now time.Time, to, method, uri string, body []byte) string {
	at := strconv.FormatInt(now.Unix(), 10)
	var raw [nonceBytes]byte
	_, _ = rand.Read(raw[:]) // Never returns an error; the package ends the program instead.
	nonce := encoding.EncodeToString(raw[:])
	return authScheme + at + "." + nonce + "." + encoding.EncodeToString(computeMAC(key, at, nonce, canonicalAddr(to), method, uri, body))
}

// verify returns the signature of a call to the address if it was made with one of the keys and is not too old.
func verify(keys [][]byte, now time.Time, header, to, method, uri string, body []byte) (signature [macBytes]byte, ok bool) {
	rest, ok := strings.CutPrefix(header, authScheme)
	part := strings.Split(rest, ".")
	if !ok || len(part) != 3 {
		return signature, false
	}
	sec, err := strconv.ParseInt(part[0], 10, 64)
	if err != nil || now.Sub(time.Unix(sec, 0)).Abs() > maxSkew {
		return signature, false
	}
	sum, err := encoding.DecodeString(part[2])
	if err != nil || len(sum) != macBytes {
		return signature, false
	}
	for _, key := range keys {
		// An empty key would let anyone sign.
		if len(key) > 0 && hmac.Equal(sum, computeMAC(key, part[0], part[1], canonicalAddr(to), method, uri, body)) {
			return [macBytes]byte(sum), true
		}
	}
	return signature, false
}

// computeMAC covers everything in a call on which its handler acts, and the receiver. The receiver is included
// because all instances share the key and each knows only the signatures that it has received itself. None of the
// parts before the body can contain a line feed.
func computeMAC(key []byte, at, nonce, to, method, uri string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range []string{at, nonce, to, method, uri} {
		writeLine(h, part)
	}
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// canonicalAddr returns the canonical form of an IP:port address, which both sides sign.
func canonicalAddr(addr string) string {
	p, err := netip.ParseAddrPort(addr)
	if err != nil {
		return addr
	}
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port()).String()
}

// writeLine writes s and a line feed.
func writeLine(h hash.Hash, s string) {
	_, _ = io.WriteString(h, s)
	_, _ = h.Write([]byte{'\n'})
}
