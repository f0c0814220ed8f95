// Package retry decides how a request continues after a failed attempt.
//
// Decisions come from one table, indexed by what the request allows, the phase
// that the attempt reached and the failure. A Controller applies the table to
// one request and limits its attempts; a Budget limits the retries of many
// requests.
package retry
