package ident

// Attempt identifies one send of a request to one target. Every response must carry it.
type Attempt string
