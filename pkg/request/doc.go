// Package request holds what the stages of request processing share: the
// request, its state, its outcome and its token usage.
package request
