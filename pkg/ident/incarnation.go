package ident

// Incarnation distinguishes the restarts of one host's process or of one target; it
// only increases.
type Incarnation uint64
