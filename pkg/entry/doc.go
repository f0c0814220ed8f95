// Package entry takes callers' requests: it checks the key, reads the body,
// finds the route and tells the caller what became of the request.
//
// The caller's key stays here. It is compared by its digest, on every request
// and again when the request leaves the queue; a request that bears it anywhere
// but in the Authorization header is refused, since everything else may go on
// to a target.
package entry
