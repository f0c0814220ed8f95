// Package entry takes callers' requests: it checks the key, reads the body,
// finds the route and tells the caller what became of the request.
package entry
