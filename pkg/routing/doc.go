// Package routing chooses the target of a request.
package routing
