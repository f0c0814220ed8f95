package faulttarget

import (
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// faultyWriter injects a fault while a response is written.
type faultyWriter struct {
	http.ResponseWriter

	fault  Fault
	writes int
}

// faultyWrite is the number of the write, counted from one, at which a fault in a
// stream occurs. Each event of a stream is one write.
const faultyWrite = 3

// Unwrap returns the wrapped writer, for http.ResponseController.
func (f *faultyWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// WriteHeader forwards the status. With WrongAttempt it replaces the attempt's ID.
func (f *faultyWriter) WriteHeader(status int) {
	if f.fault == WrongAttempt {
		f.Header().Set(target.HeaderAttempt, "another")
	}
	f.ResponseWriter.WriteHeader(status)
}

// Write forwards a part of the response, or injects the fault.
func (f *faultyWriter) Write(data []byte) (int, error) {
	f.writes++
	if f.writes == 1 {
		f.WriteHeader(http.StatusOK)
	}
	stream := f.Header().Get("Content-Type") == "text/event-stream"
	switch {
	case f.fault == Truncated && !stream:
		_, _ = f.ResponseWriter.Write(data[:len(data)/2])
		_ = http.NewResponseController(f.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	case f.fault == Truncated && f.writes == faultyWrite:
		panic(http.ErrAbortHandler)
	case f.fault == NoEndMarker && stream && f.writes >= faultyWrite:
		return len(data), nil
	case f.fault == SkippedEvent && f.writes == faultyWrite:
		return len(data), nil
	}
	return f.ResponseWriter.Write(data)
}
