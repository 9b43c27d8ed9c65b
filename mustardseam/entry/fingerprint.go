package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/mustardseam/mustardseam/mustardseam/quarantine"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 12

// fingerprint identifies a request over its attempts, by its host, path, caller and body. Other requests with the same prompt
// have other fingerprints, and so have equal requests of other callers. It is safe against callers that want to match the
// fingerprint of others.
func (req *request) fingerprint() string {
	if req.fingerprintCache != "" {
		return req.fingerprintCache
	}
	caller := req.meta.APIKey
	if req.team != nil {
		caller = req.team.Name
	}
	h := sha256.New()
	for _, field := range []string{req.exchange.Host(), req.exchange.RequestURI(), caller} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(req.exchange.Body)
	req.fingerprintCache = quarantine.FingerprintPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	return req.fingerprintCache
}
