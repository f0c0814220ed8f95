// Package routing chooses the target of each request.
//
// ModelRouter places model requests by their expected times, ServiceRouter
// sends calls of plain services to the less loaded of two replicas, and
// CombinedRouter combines the two. RoundRobin and LeastOutstanding are
// baselines for comparison.
package routing
