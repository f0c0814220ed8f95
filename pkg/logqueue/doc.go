// Package logqueue writes log lines through a bounded queue, so that a reader
// of the log which stalls never holds up a request. What does not fit is dropped
// and counted; lines of failures keep a part of the queue for themselves.
package logqueue
