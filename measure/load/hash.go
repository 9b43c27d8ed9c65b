package load

import "hash/fnv"

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mixBits(h.Sum64())
}

// mixBits spreads consecutive numbers over all 64 bits with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
