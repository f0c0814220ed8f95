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
	// bufferBytes is the largest answer that is read whole before any of it
	// is handed to the caller.
	bufferBytes = 1 << 20
	// maxAnswerBytes bounds every other answer.
	maxAnswerBytes = 256 << 20
	// copyBytes is the size of the pieces that large answers are copied in.
	copyBytes = 32 << 10
)

// whole hands an answer that is no stream to the caller, after it was read to
// its end where it is small.
func (a *attempt) whole(w *watch, response *http.Response, verdict Verdict) error {
	ctx := w.ctx
	if a.call.req.Stream {
		w.patient()
	}
	if !lengthKnown(response) && !a.call.relay.protocol.EndsWithConnection() {
		return &exchangeError{failure: retry.Mismatch, cause: errNoLength}
	}
	if response.ContentLength > maxAnswerBytes {
		return &exchangeError{failure: retry.TooLarge, cause: errTooLarge}
	}
	var body bytes.Buffer
	_, err := body.ReadFrom(io.LimitReader(response.Body, bufferBytes+1))
	if err != nil {
		return a.call.classify(ctx, err)
	}
	got := &answer{status: response.StatusCode, header: response.Header, body: body.Bytes(), length: response.ContentLength}
	w.patient()
	if verdict == VerdictFailed && body.Len() <= bufferBytes {
		a.refusal = got
		return &exchangeError{failure: retry.Refused, cause: errRefused}
	}
	if a.win != nil && !a.win() {
		return &exchangeError{failure: retry.CallerGone, cause: errLost}
	}
	if body.Len() > bufferBytes {
		return a.large(ctx, got, response.Body)
	}
	a.readUsage(got.body)
	if err := got.writeTo(a.call); err != nil {
		return &exchangeError{failure: retry.CallerGone, cause: err}
	}
	return nil
}

// large hands on the part of an answer that was read, and copies the rest.
func (a *attempt) large(ctx context.Context, begun *answer, rest io.Reader) error {
	writer := a.call.writer
	a.call.relay.protocol.Return(writer.Header(), begun.header)
	if begun.length > 0 {
		writer.Header().Set("Content-Length", strconv.FormatInt(begun.length, 10))
	}
	writer.WriteHeader(begun.status)
	a.reached(retry.Streaming)
	piece, sent := begun.body, 0
	buffer := make([]byte, copyBytes)
	for {
		a.call.handed()
		if _, err := writer.Write(piece); err != nil {
			return &exchangeError{failure: retry.CallerGone, cause: err}
		}
		sent += len(piece)
		if sent > maxAnswerBytes {
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

// readUsage reads the usage that an answer or an event states.
func (a *attempt) readUsage(data []byte) {
	reader, ok := a.call.relay.protocol.(usageReader)
	if !ok || a.call.req.Model == "" {
		return
	}
	if figures, ok := reader.Usage(data); ok {
		a.usage = figures
	}
}

// lengthKnown reports whether the end of an answer differs from a broken
// connection.
func lengthKnown(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor > 1
}
