package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

const (
	// maxBufferedBytes is the largest response that is read whole before any of
	// it is written to the caller.
	maxBufferedBytes = 1 << 20
	// initialBufferBytes is what each request may hold of a response besides the memory for
	// responses.
	initialBufferBytes = 4 << 10
	// maxResponseBytes bounds all other responses.
	maxResponseBytes = 256 << 20
	// copyBufferBytes is the buffer size for copying large responses.
	copyBufferBytes = 32 << 10
)

// relayUnary writes a response that is not a stream to the caller. A small one
// is first read to its end.
func (a *attempt) relayUnary(w *watchdog, response *http.Response, kind ResponseKind) error {
	got, err := a.bufferResponse(w, response)
	if err != nil {
		return err
	}
	if kind == ResponseFailed && got.whole {
		a.refusal = got
		return &exchangeError{failure: retry.Refused, cause: errRefused}
	}
	if a.claimAnswer != nil && !a.claimAnswer() {
		return &exchangeError{failure: retry.CallerGone, cause: errHedgeLost}
	}
	if !got.whole {
		return a.relayLarge(w.ctx, got, response.Body)
	}
	a.readUsage(got.body)
	if err := got.writeTo(a.call); err != nil {
		return &exchangeError{failure: retry.CallerGone, cause: err}
	}
	return nil
}

// bufferResponse reads a response to its end, up to maxBufferedBytes and as far as the
// memory for responses allows. The exchange is not left for silence afterwards.
func (a *attempt) bufferResponse(w *watchdog, response *http.Response) (*bufferedResponse, error) {
	silence := &exchangeError{failure: retry.Silence, cause: errSilence}
	if a.call.req.Stream && !w.disarm() {
		return nil, silence
	}
	if !lengthKnown(response) && !a.call.relay.protocol.EndsWithConnection() {
		return nil, &exchangeError{failure: retry.Mismatch, cause: errNoLength}
	}
	if response.ContentLength > maxResponseBytes {
		return nil, &exchangeError{failure: retry.TooLarge, cause: errTooLarge}
	}
	body, whole, err := a.call.readHeld(&watchedBody{body: response.Body, watchdog: w})
	if err != nil {
		return nil, a.classify(w.ctx, err)
	}
	if !w.disarm() && !whole {
		return nil, silence
	}
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body, whole: whole, length: response.ContentLength}, nil
}

// readHeld reads a body to its end, which whole reports, or until maxBufferedBytes or the memory
// for responses are used up. The bytes beyond initialBufferBytes are held until the request ends.
func (c *call) readHeld(body io.Reader) (text []byte, whole bool, err error) {
	text = make([]byte, 0, initialBufferBytes)
	for len(text) < maxBufferedBytes {
		if len(text) == cap(text) {
			more := min(cap(text), maxBufferedBytes-cap(text))
			if !c.holdBytes(int64(more)) {
				return text, false, nil
			}
			text = append(make([]byte, 0, cap(text)+more), text...)
		}
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF {
			return text, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return text, false, nil
}

// relayLarge writes the part of a response that was read, then copies the rest.
func (a *attempt) relayLarge(ctx context.Context, head *bufferedResponse, rest io.Reader) error {
	if !a.call.deadline.beginAnswer() {
		return &exchangeError{failure: retry.DeadlinePassed, cause: errAnswerLate}
	}
	writer := a.call.writer
	a.call.relay.protocol.CopyHeaders(writer.Header(), head.header)
	if head.length > 0 {
		writer.Header().Set("Content-Length", strconv.FormatInt(head.length, 10))
	}
	writer.WriteHeader(head.status)
	a.advanceTo(retry.Streaming)
	piece, sent := head.body, 0
	buffer := make([]byte, copyBufferBytes)
	for {
		a.call.markDelivered()
		if _, err := writer.Write(piece); err != nil {
			return &exchangeError{failure: retry.CallerGone, cause: err}
		}
		sent += len(piece)
		if sent > maxResponseBytes {
			return &exchangeError{failure: retry.TooLarge, cause: errTooLarge}
		}
		n, err := rest.Read(buffer)
		if n == 0 && err == io.EOF {
			return nil
		}
		if err != nil && err != io.EOF {
			return a.classify(ctx, err)
		}
		piece = buffer[:n]
	}
}

// readUsage records the usage in a response's body or an event's data, if there is
// any.
func (a *attempt) readUsage(data []byte) {
	reader, ok := a.call.relay.protocol.(usageReader)
	if !ok || a.call.req.Model == "" {
		return
	}
	if usage, ok := reader.Usage(data); ok {
		a.usage = usage
	}
}

// lengthKnown reports whether the end of a response can be distinguished from a
// broken connection.
func lengthKnown(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor > 1
}
