// Package relay sends admitted requests to targets and returns the responses.
//
// A call is one request. An attempt is one send of it, under an ID of its own.
// An attempt whose answer is a stream may take several exchanges, each on a new
// connection; pkg/retry decides how to continue after a failure. An answer
// reaches the caller only under these invariants: it carries its attempt's ID,
// the IDs of a stream's events increase without a gap up to the end marker, and
// an answer in one piece has the length that its target stated.
package relay
