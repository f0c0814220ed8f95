package ident

// Incarnation distinguishes the successive lives of one host's process; it only rises.
type Incarnation uint64
