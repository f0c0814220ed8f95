// Package shift measures the system's decisions on small fakes in fake time.
//
// A run plays one trace of one deployment under one policy: callers' requests
// reach several daemons, each with its own stale view, which admit, route and
// plan by the product's own code before fake engines and services.
package shift
