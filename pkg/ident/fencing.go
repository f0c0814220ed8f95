package ident

// Fencing numbers the successive holders of a duty; a receiver that checks refuses a lower number than it has seen.
type Fencing uint64
