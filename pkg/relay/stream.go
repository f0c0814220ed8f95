package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// endTimeout is how long a connection may take to end after the end marker
// before it is closed instead of kept.
const endTimeout = 20 * time.Millisecond

// stream hands a stream's events to the caller up to the end marker. Only the
// last event before it is decoded.
func (a *attempt) stream(w *watch, response *http.Response) error {
	reader := target.NewFrameReader(response.Body)
	controller := http.NewResponseController(a.call.writer)
	for {
		frame, err := reader.Next()
		if err != nil {
			return a.call.classify(w.ctx, err)
		}
		w.alive()
		if frame.ID == 0 {
			continue
		}
		if frame.ID != a.last+1 {
			return &exchangeError{failure: retry.Mismatch, cause: errWrongEvent}
		}
		last := string(frame.Data) == target.EndMarker
		if err := a.event(frame, last); err != nil {
			return &exchangeError{failure: retry.CallerGone, cause: err}
		}
		if last {
			_ = controller.Flush()
			return a.end(w, reader)
		}
		if reader.Ready() {
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
func (a *attempt) event(frame target.Frame, last bool) error {
	if a.phase != retry.Streaming {
		header := a.call.writer.Header()
		header.Set("Content-Type", eventStream)
		header.Set("Cache-Control", "no-cache")
		a.call.writer.WriteHeader(http.StatusOK)
		a.reached(retry.Streaming)
	}
	a.call.handed()
	if _, err := a.call.writer.Write(frame.Text); err != nil {
		return err
	}
	a.last = frame.ID
	a.progress()
	if !last {
		a.call.result.Events++
		a.call.relay.metrics.events.Inc()
		a.lastData = append(a.lastData[:0], frame.Data...)
	}
	return nil
}

// end reads the usage and lets the connection end, so that it can be kept. The
// caller has the whole answer whatever happens here.
func (a *attempt) end(w *watch, reader *target.FrameReader) error {
	var last target.Answer
	if json.Unmarshal(a.lastData, &last) == nil && last.Usage != nil {
		a.usage = request.Figures{PromptTokens: last.Usage.PromptTokens, OutputTokens: last.Usage.CompletionTokens}
	}
	w.limit(endTimeout)
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
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
