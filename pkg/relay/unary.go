package relay

import (
	"bytes"
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
	whole := len(got.body) <= maxBufferedBytes
	if kind == ResponseFailed && whole {
		a.refusal = got
		return &exchangeError{failure: retry.Refused, cause: errRefused}
	}
	if a.claimAnswer != nil && !a.claimAnswer() {
		return &exchangeError{failure: retry.CallerGone, cause: errHedgeLost}
	}
	if !whole {
		return a.relayLarge(w.ctx, got, response.Body)
	}
	a.readUsage(got.body)
	if err := got.writeTo(a.call); err != nil {
		return &exchangeError{failure: retry.CallerGone, cause: err}
	}
	return nil
}

// bufferResponse reads a response to its end or, if it is larger than
// maxBufferedBytes, one byte beyond that. The exchange is not left for silence
// afterwards.
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
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(&watchedBody{body: response.Body, watchdog: w}, maxBufferedBytes+1)); err != nil {
		return nil, a.call.classify(w.ctx, err)
	}
	if !w.disarm() && body.Len() > maxBufferedBytes {
		return nil, silence
	}
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body.Bytes(), length: response.ContentLength}, nil
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
			return a.call.classify(ctx, err)
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
