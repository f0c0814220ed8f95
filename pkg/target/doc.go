// Package target implements the protocol between the daemons and the targets.
//
// An engine accepts POST /v1/chat/completions and /v1/completions in the format
// that callers of models use. A streamed response is a sequence of server-sent
// events whose IDs count from one, terminated by EndMarker. The engine keeps a
// stream for a while after its connection broke: GET /v1/streams/{attempt}
// with HeaderLastEventID resumes it after the given event, and DELETE cancels it.
// GET /load returns a fleet.LoadReport, GET /events?after=N the cache events
// after N, and POST /orders accepts an Order.
//
// Every response of a target repeats the HeaderAttempt of its request.
package target
