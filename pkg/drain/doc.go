// Package drain shuts down the HTTP server for callers without interrupting
// requests.
//
// Once a stop is requested, readiness fails and every response carries
// Connection: close, but the listener and idle connections stay open, so that
// requests that still arrive are served. The listener and the idle connections are
// closed only after the load balancer has had time to stop sending requests. No
// deadline ends a running request.
package drain
