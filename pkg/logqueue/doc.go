// Package logqueue writes log lines through a bounded queue, so that a blocked log
// writer never delays a request. Lines that do not fit are dropped and counted. A
// part of the queue is reserved for warnings and errors.
package logqueue
