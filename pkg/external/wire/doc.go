// Package wire defines the messages between package httpclient and the platform.
// Every call is a POST of JSON to one of the paths. An error response carries a
// Failure and the HTTP status of its kind.
package wire
