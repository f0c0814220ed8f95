package routing

// mix returns a well-distributed hash of two values. It uses the finalizer of
// SplitMix64.
func mix(a, b uint64) uint64 {
	const (
		multiplier1 = 0xbf58476d1ce4e5b9
		multiplier2 = 0x94d049bb133111eb
	)
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * multiplier1
	x = (x ^ (x >> 27)) * multiplier2
	return x ^ (x >> 31)
}

// affinityKey returns the hash of a prompt's first blocks, which selects its
// home engine, or false if the prompt has fewer blocks.
func affinityKey(prefix []uint64, blocks int64) (uint64, bool) {
	if int64(len(prefix)) < blocks || blocks < 1 {
		return 0, false
	}
	return prefix[blocks-1], true
}
