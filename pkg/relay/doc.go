// Package relay sends admitted requests to targets and carries the answers
// back.
//
// A call is one request, an attempt is one send of it under an id of its own.
// An attempt whose answer is a stream may take several exchanges, each on a new
// connection; pkg/retry decides what follows a failure. An answer reaches the
// caller only under these invariants: it bears its attempt's id, a stream's
// events count up without a gap to the end marker, and a whole answer has the
// length that its target stated.
package relay
