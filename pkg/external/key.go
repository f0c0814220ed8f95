package external

// Key names a value of the store. Keys are paths with slashes.
type Key string
