package ident

// Fencing is the fencing number of a duty. It increases with each holder; a
// receiver that checks it rejects a number lower than the highest it has seen.
type Fencing uint64
