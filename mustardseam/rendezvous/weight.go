package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a node for a key. The node with the highest weight comes first.
func Weight(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// Fraction returns the weight of a node for a key, scaled to [0, 1).
func Fraction(key, node string) float64 { return float64(Weight(key, node)>>11) / (1 << 53) }
