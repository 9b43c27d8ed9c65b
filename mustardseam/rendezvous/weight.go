package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of an instance for a key. The instance with the highest weight comes first.
func Weight(key, instance string) uint64 { return xxhash.Sum64String(key + "\x00" + instance) }

// Fraction returns the weight of an instance for a key, scaled to [0, 1).
func Fraction(key, instance string) float64 { return float64(Weight(key, instance)>>11) / (1 << 53) }
