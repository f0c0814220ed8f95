// Package relay sends admitted requests to targets and returns the responses.
//
// A call is one request. An attempt is one send of it, under an ID of its own.
// An attempt whose answer is a stream may take several exchanges, each on a new
// connection; pkg/retry decides how to continue after a failure. A response is
// relayed only if the Protocol identifies it as the response to the attempt. A
// stream is complete only if the IDs of its events increase without a gap up to the
// last event. Any other response must have its declared length or, if it has none
// and the Protocol allows that, end with its connection.
package relay
