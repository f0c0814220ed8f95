package faulttarget

import (
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// faultyWriter spoils an answer on its way.
type faultyWriter struct {
	http.ResponseWriter

	fault  Fault
	writes int
}

// faultyWrite is the write that a fault strikes.
const faultyWrite = 3

// Unwrap returns the writer beneath, for http.ResponseController.
func (f *faultyWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// WriteHeader passes the status on, under another attempt's id where asked.
func (f *faultyWriter) WriteHeader(status int) {
	if f.fault == Crossed {
		f.Header().Set(target.HeaderAttempt, "another")
	}
	f.ResponseWriter.WriteHeader(status)
}

// Write passes a part of the answer on, or strikes.
func (f *faultyWriter) Write(data []byte) (int, error) {
	f.writes++
	if f.writes == 1 {
		f.WriteHeader(http.StatusOK)
	}
	stream := f.Header().Get("Content-Type") == "text/event-stream"
	switch {
	case f.fault == Cut && !stream:
		_, _ = f.ResponseWriter.Write(data[:len(data)/2])
		_ = http.NewResponseController(f.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	case f.fault == Cut && f.writes == faultyWrite:
		panic(http.ErrAbortHandler)
	case f.fault == NoEnd && stream && f.writes >= faultyWrite:
		return len(data), nil
	case f.fault == Skipped && f.writes == faultyWrite:
		return len(data), nil
	}
	return f.ResponseWriter.Write(data)
}
