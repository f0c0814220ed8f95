// Package routing chooses the target of a request.
//
// ModelRouter places model requests by their expected times, ServiceRouter
// sends calls of plain services to the less loaded of two replicas, and ByKind
// joins the two. RoundRobin and LeastOutstanding are the baselines that they
// are measured beside.
package routing
