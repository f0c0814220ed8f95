package ident

// Fencing is the fencing token of a duty. It increases with each holder; a receiver that checks it rejects a token
// lower than the highest it has seen.
type Fencing uint64
