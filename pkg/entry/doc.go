// Package entry is the HTTP front end for callers. It authenticates a request,
// reads its body, selects the route, has the request admitted and relayed, and
// reports its outcome to the caller.
//
// The caller's key never leaves this package. Its digest is looked up when the
// request arrives and again when the request leaves the admission queue. A
// request that carries the key in its path, query or body, or in a header that
// relay.EngineProtocol forwards to targets, is refused.
package entry
