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
	// maxSkew bounds the age of a signature and the difference of two clocks. A recorded call is refused as a replay
	// within it and as too old after it.
	maxSkew = 30 * time.Second
	// nonceBytes and macBytes keep the header short, because it is a large part of an ask. RFC 2104 allows an HMAC to be
	// cut to half of its length.
	nonceBytes = 8
	macBytes   = sha256.Size / 2
)

// encoding writes the nonce and the signature.
var encoding = base64.RawURLEncoding

// sign returns the value of the authorization header of a call to an address. The nonce tells equal calls of one second apart, which
// polls are, from replays.
func sign(key []byte, now time.Time, to, method, uri string, body []byte) string {
	at := strconv.FormatInt(now.Unix(), 10)
	var raw [nonceBytes]byte
	_, _ = rand.Read(raw[:]) // Never fails: the package ends the program instead.
	nonce := encoding.EncodeToString(raw[:])
	return authScheme + at + "." + nonce + "." + encoding.EncodeToString(mac(key, at, nonce, canonical(to), method, uri, body))
}

// verify returns the signature of a call to the address that was made with one of the keys and is not too old.
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
		// A key that is not set would let anyone sign.
		if len(key) > 0 && hmac.Equal(sum, mac(key, part[0], part[1], canonical(to), method, uri, body)) {
			return [macBytes]byte(sum), true
		}
	}
	return signature, false
}

// mac covers all of a call that its handler acts on, and the receiver, because all instances share the key and each knows
// only the signatures that it has seen. None of the parts before the body can hold a line feed.
func mac(key []byte, at, nonce, to, method, uri string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range []string{at, nonce, to, method, uri} {
		line(h, part)
	}
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// canonical returns the one form of an address IP:port that both sides sign.
func canonical(addr string) string {
	p, err := netip.ParseAddrPort(addr)
	if err != nil {
		return addr
	}
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port()).String()
}

func line(h hash.Hash, s string) {
	_, _ = io.WriteString(h, s)
	_, _ = h.Write([]byte{'\n'})
}
