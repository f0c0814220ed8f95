// Package load drives a daemon with an open loop of requests: they start when
// the schedule says, whatever became of the ones before, and their times count
// from the schedule, so that a slow system can't hide its queue.
package load
