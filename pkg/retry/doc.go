// Package retry decides what becomes of a request after a failed attempt.
//
// The decisions stand in one table over what the request allows, the phase that
// the attempt reached and the failure. A Run applies the table to one request
// and bounds its attempts; a Budget bounds the retries of a route.
package retry
