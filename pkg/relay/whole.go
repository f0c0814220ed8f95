package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/target"
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
func (a *attempt) whole(w *watch, response *http.Response) error {
	ctx := w.ctx
	if a.call.req.Stream {
		w.patient()
	}
	if !lengthKnown(response) {
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
	got := &answer{status: response.StatusCode, header: response.Header, body: body.Bytes()}
	w.patient()
	if refuses(response.StatusCode) && body.Len() <= bufferBytes {
		a.refusal = got
		return &exchangeError{failure: retry.Refused, cause: errRefused}
	}
	if a.win != nil && !a.win() {
		return &exchangeError{failure: retry.CallerGone, cause: errLost}
	}
	if body.Len() > bufferBytes {
		return a.large(ctx, got, response.Body)
	}
	a.readUsage(got)
	if err := got.writeTo(a.call); err != nil {
		return &exchangeError{failure: retry.CallerGone, cause: err}
	}
	return nil
}

// large hands on the part of an answer that was read, and copies the rest.
func (a *attempt) large(ctx context.Context, begun *answer, rest io.Reader) error {
	writer := a.call.writer
	copyHeader(writer.Header(), begun.header)
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

// readUsage reads the usage that an engine's answer states.
func (a *attempt) readUsage(got *answer) {
	var stated target.Answer
	if a.call.req.Model == "" || json.Unmarshal(got.body, &stated) != nil || stated.Usage == nil {
		return
	}
	a.usage = request.Figures{PromptTokens: stated.Usage.PromptTokens, OutputTokens: stated.Usage.CompletionTokens}
}

// lengthKnown reports whether the end of an answer differs from a broken
// connection.
func lengthKnown(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor > 1
}

// refuses reports whether a status says that the target takes no work.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadGateway
}
