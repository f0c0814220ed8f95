// Package load is an open-loop load generator. Requests start as scheduled, whether
// or not earlier ones have completed, and latencies count from the scheduled start,
// so that queueing in a slow system is included.
package load
