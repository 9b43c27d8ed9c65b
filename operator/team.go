package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Team is a customer that shares the fleet; its first tier is the default of its requests.
type Team struct {
	Name      string   `json:"name"       yaml:"name"`
	Weight    float64  `json:"weight"     yaml:"weight"`
	Tiers     []string `json:"tiers"      yaml:"tiers"`
	KeyHashes []string `json:"key-hashes" yaml:"key-hashes"`
}

// TeamConfig describes a team by its API keys, of which only the hashes go into the document.
type TeamConfig struct {
	Name   string
	Weight float64  // Share relative to other teams; 1 when zero.
	Tiers  []string // The default first.
	Keys   []string
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

// WithKeyHash returns a copy of the team that also accepts the key of the given hash, as KeyHash prints it.
func (t Team) WithKeyHash(hash string) Team {
	t.KeyHashes = append(slices.Clone(t.KeyHashes), hash)
	return t
}

// WithoutKeyHash returns a copy of the team that no longer accepts the key of the given hash.
func (t Team) WithoutKeyHash(hash string) Team {
	t.KeyHashes = slices.DeleteFunc(slices.Clone(t.KeyHashes), func(h string) bool { return h == hash })
	return t
}

// KeyHash returns the SHA-256 of an API key in lower-case hexadecimal, which is all that a document holds of a key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
