package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a node for a key; the node with the highest one comes first.
func Weight(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// Fraction returns the weight of a node for a key as a number in [0, 1).
func Fraction(key, node string) float64 { return float64(Weight(key, node)>>11) / (1 << 53) }
