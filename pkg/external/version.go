package external

// Version numbers the states of one key. NoVersion is a key that does not
// exist; every write raises it. A deleted key that comes back goes on rising.
type Version uint64

// NoVersion is the version of a key that does not exist.
const NoVersion Version = 0
