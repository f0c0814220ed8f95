package external

// Key is the key of a value in the store. Keys are slash-separated paths.
type Key string
