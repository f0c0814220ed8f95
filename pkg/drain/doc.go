// Package drain stops the callers' server without cutting a request.
//
// Once a stop is asked for, readiness fails and every answer carries
// Connection: close, but the listener stays open and idle connections stay, so
// that a request which arrives in that instant is served. Only after the
// balancer has had time to look away does the listener close, and with it the
// idle connections. No deadline ends a running request.
package drain
