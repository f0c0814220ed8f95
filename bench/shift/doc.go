// Package shift simulates a deployment whose load shifts between kinds of
// requests and measures the system's decisions, in simulated time.
//
// A run simulates one trace of one deployment under one policy. Callers'
// requests reach several daemons, each with its own stale view of the targets.
// Admission, routing and planning are the product's own code; the engines and
// the replicas of services are simulated.
package shift
