// Package target holds the protocol between the daemons and the targets.
//
// An engine takes POST /v1/chat/completions and /v1/completions in the shape
// that model callers use. Its streamed answer is a sequence of server-sent
// events whose ids count from one, ended by EndMarker. The engine keeps a
// stream for a while after its connection broke: GET /v1/streams/{attempt}
// with HeaderAfter sends the events after the given one, and DELETE cancels
// the stream. GET /load answers a fleet.LoadReport, GET /events?after=N the
// cache events after N, POST /orders takes an Order.
//
// Every answer of a target bears HeaderAttempt with the id that the request
// bore.
package target
