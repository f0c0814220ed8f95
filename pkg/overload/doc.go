// Package overload bounds what callers, and strangers at any port, make a process hold.
//
// A Budget follows from the process's memory and descriptors (LimitsFor) and is divided into
// classes: connections, heads of requests that are being read, requests, and bodies. Everything is
// charged when it begins to be held, not when it is whole: a connection when it is accepted, a head
// with each read from its connection, a body with each piece before it is read.
//
// If a class is full, the holder gives way that has kept most for longest without a need to: a
// connection without a request, those of unknown callers first; a head or a body that is not whole;
// a caller that doesn't read its answer. None of these has run, or its answer has no reader. What
// remains is whole requests, which end by their deadlines; one route may have a part of a class only,
// so that a service which doesn't answer leaves room for the others. If nothing gives way, the new
// request is refused or its connection closed.
package overload
