package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Team is a customer that shares the backend servers with others; its first tier is the default for its requests.
type Team struct {
	Name      string   `json:"name"       yaml:"name"`
	Weight    float64  `json:"weight"     yaml:"weight"`     // Share relative to other teams; must be positive.
	Tiers     []string `json:"tiers"      yaml:"tiers"`      // Names of the tiers that the team may use, the default first.
	KeyHashes []string `json:"key-hashes" yaml:"key-hashes"` // Hashes of the accepted API keys, in the format of KeyHash.
}

// TeamConfig describes a team by its API keys, of which only the hashes go into the document.
type TeamConfig struct {
	Name   string
	Weight float64  // Share relative to other teams; 0 selects 1.
	Tiers  []string // Tiers that the team may use, the default first.
	Keys   []string // API keys in plain text.
}

// NewTeam returns a team that accepts the configured API keys.
func NewTeam(cfg TeamConfig) Team {
	t := Team{Name: cfg.Name, Weight: cfg.Weight, Tiers: slices.Clone(cfg.Tiers), KeyHashes: []string{}}
	if t.Weight == 0 {
		t.Weight = 1
	}
	for _, key := range cfg.Keys {
		t.KeyHashes = append(t.KeyHashes, KeyHash(key))
	}
	return t
}

func (t Team) key() string { return t.Name }

func (t Team) clone() Team {
	t.Tiers = slices.Clone(t.Tiers)
	t.KeyHashes = slices.Clone(t.KeyHashes)
	return t
}

// WithWeight returns a copy of the team with the given weight, a positive ratio.
func (t Team) WithWeight(weight float64) Team {
	t.Weight = weight
	return t
}

// WithTiers returns a copy of the team that is entitled to the named tiers, the default first.
func (t Team) WithTiers(names ...string) Team {
	t.Tiers = slices.Clone(names)
	return t
}

// WithKeyHash returns a copy of the team that also accepts the key with the given hash, in the format of KeyHash.
func (t Team) WithKeyHash(hash string) Team {
	t.KeyHashes = append(slices.Clone(t.KeyHashes), hash)
	return t
}

// WithoutKeyHash returns a copy of the team that no longer accepts the key with the given hash.
func (t Team) WithoutKeyHash(hash string) Team {
	t.KeyHashes = slices.DeleteFunc(slices.Clone(t.KeyHashes), func(h string) bool { return h == hash })
	return t
}

// KeyHash returns the SHA-256 hash of an API key in lower-case hexadecimal. A document stores only this hash of a key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
