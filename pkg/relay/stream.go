package relay

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// endTimeout is how long a connection may take to end after the last event
// before it is closed instead of kept.
const endTimeout = 20 * time.Millisecond

// stream hands a stream's events to the caller up to the last.
func (a *attempt) stream(w *watch, response *http.Response, events EventReader) error {
	controller := http.NewResponseController(a.call.writer)
	for {
		event, err := events.Next()
		if err != nil {
			return a.call.classify(w.ctx, err)
		}
		w.alive()
		a.call.ran()
		if event.ID == 0 && !event.Last {
			continue
		}
		if event.ID != 0 && !events.Follows(a.last, event.ID) {
			return &exchangeError{failure: retry.Mismatch, cause: errWrongEvent}
		}
		if err := a.event(response, event); err != nil {
			return &exchangeError{failure: retry.CallerGone, cause: err}
		}
		if event.Last {
			_ = controller.Flush()
			return a.end(w, events)
		}
		if events.Ready() {
			continue
		}
		if err := controller.Flush(); err != nil {
			return &exchangeError{failure: retry.CallerGone, cause: err}
		}
		if a.moveDue() {
			return errMoveDue
		}
	}
}

// event hands one event to the caller.
func (a *attempt) event(response *http.Response, event Event) error {
	if !a.call.result.Started {
		header := a.call.writer.Header()
		a.call.relay.protocol.Return(header, response.Header)
		header.Set("Content-Type", eventStream)
		header.Set("Cache-Control", "no-cache")
		a.call.writer.WriteHeader(http.StatusOK)
	}
	if a.phase != retry.Streaming && a.source == (Source{}) {
		a.tellTime(time.Since(a.began))
	}
	a.reached(retry.Streaming)
	a.call.handed()
	if _, err := a.call.writer.Write(event.Text); err != nil {
		return err
	}
	if event.ID != 0 {
		a.last, a.call.last = event.ID, event.ID
	}
	a.progress()
	if !event.Last {
		a.call.result.Events++
		a.call.relay.metrics.events.Inc()
		a.lastData = append(a.lastData[:0], event.Data...)
	}
	return nil
}

// end reads the usage and lets the connection end, so that it can be kept. The
// caller has the whole answer whatever happens here.
func (a *attempt) end(w *watch, events EventReader) error {
	a.readUsage(a.lastData)
	w.limit(endTimeout)
	if events.Drain() != nil {
		w.cancel(nil)
	}
	return nil
}

// figures returns what a whole answer used. A stream that stated no usage is
// counted by its events.
func (a *attempt) figures() request.Figures {
	if a.usage == (request.Figures{}) && a.last > 0 {
		return a.partFigures()
	}
	return a.usage
}

// partFigures returns what the part of a stream that was handed to the caller
// used, with the estimate of the prompt.
func (a *attempt) partFigures() request.Figures {
	if a.call.result.Events == 0 {
		return request.Figures{}
	}
	return request.Figures{PromptTokens: uint64(a.call.req.PromptTokens), OutputTokens: a.call.result.Events}
}
