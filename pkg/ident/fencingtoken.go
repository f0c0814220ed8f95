package ident

// FencingToken is the fencing token of a duty. It increases with each holder; a
// receiver that checks it rejects a token lower than the highest it has seen.
type FencingToken uint64
