// Package request holds what the stages of a request's path hand to each
// other: the request, its outcome and what it used.
package request
