package relay

import (
	"context"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Protocol is how one kind of targets is spoken to. It words requests and reads
// answers, and decides nothing.
type Protocol interface {
	// Request returns what is sent to the target.
	Request(ctx context.Context, send *Send) (*http.Request, error)
	// Judge reads an answer's header.
	Judge(send *Send, response *http.Response) Verdict
	// Load returns the load that an answer's header tells, or false.
	Load(response *http.Response) (fleet.LoadReport, bool)
	// Return sets the headers that the caller gets.
	Return(to, from http.Header)
	// Events reads a stream. A stream that is broken off never yields an event
	// that is marked as the last.
	Events(send *Send, response *http.Response) EventReader
	// EndsWithConnection says that an answer without a length is whole where
	// its connection ends in order.
	EndsWithConnection() bool
	// Keeper returns how streams are read on at the same target, or nil where
	// targets keep none.
	Keeper() Keeper
}

// Keeper is the part of a Protocol for targets that keep a stream whose
// connection broke.
type Keeper interface {
	// Resume returns the request for the events after send.After.
	Resume(ctx context.Context, send *Send) (*http.Request, error)
	// Cancel returns the request that ends a stream which nobody waits for.
	Cancel(ctx context.Context, address string, attempt ident.Attempt) (*http.Request, error)
	// Lost reports whether the answer to Resume says that the stream is gone.
	Lost(response *http.Response) bool
}

// Send is one request to one target.
type Send struct {
	Request *request.Request
	Attempt ident.Attempt
	Target  external.TargetRecord
	// After is the last event that the caller has of the stream, or zero.
	After uint64
	// Left is the time until the request's deadline.
	Left time.Duration
	// Source names the KV cache that the answer goes on from, or nothing.
	Source Source
	// Holder is where an engine holds a part of the prompt that the target is to
	// fetch first, or empty.
	Holder string
	// Prompt says that the prompt alone is to be computed.
	Prompt bool
}

// Source names the KV cache of a prompt at the engine that computed it.
type Source struct {
	Address string
	Handle  string
}

// Verdict is what an answer's header says.
type Verdict int

// The verdicts.
const (
	// VerdictForeign answers belong to another attempt.
	VerdictForeign Verdict = iota
	// VerdictRejected answers state that the request did not run.
	VerdictRejected
	// VerdictFailed answers are the target's own failure.
	VerdictFailed
	// VerdictWhole answers have one body, VerdictEvents are streams.
	VerdictWhole
	VerdictEvents
)

// Event is one event of a stream.
type Event struct {
	// ID counts the events; zero marks a sign of life that is no event.
	ID uint64
	// Text is what the caller gets, valid until the next event is read. It may
	// be empty for the last.
	Text []byte
	// Data is the event's data, Last says that the stream is whole with it.
	Data []byte
	Last bool
}

// EventReader reads the events of one stream.
type EventReader interface {
	// Next returns the next event.
	Next() (Event, error)
	// Ready reports whether the next event is in memory already.
	Ready() bool
	// Follows reports whether an event may follow the one before.
	Follows(before, next uint64) bool
	// Drain reads to the end of the answer after the last event.
	Drain() error
}

// usageReader is a Protocol that reads the token counts of an answer that states them.
type usageReader interface {
	Usage(data []byte) (request.Figures, bool)
}
