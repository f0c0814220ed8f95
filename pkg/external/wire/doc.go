// Package wire holds the messages between the HTTP adapters of package
// httpclient and the platform. Every call is a POST of JSON to a path below;
// a failure is answered with Failure and the status of its kind.
package wire
