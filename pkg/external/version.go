package external

// Version is the version of one key. Every write increases it, also across a
// deletion and re-creation of the key.
type Version uint64

// NoVersion is the version of a key that does not exist.
const NoVersion Version = 0
