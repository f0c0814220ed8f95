// Package bench holds benchmarks of the system's decisions, which run on
// simulated targets in simulated time.
package bench
