package backlog

import "amaranthplank.example/amaranthplank/pkg/ident"

// Outstanding is what a daemon has sent to one target and is not known to be done
// yet.
type Outstanding struct {
	Target ident.Target
	// Urgent counts the prompt tokens to be computed of requests with urgency 0, the
	// most urgent, and Other those of all other requests.
	Urgent float64
	Other  float64
	// Requests counts the requests that have not ended.
	Requests float64
}
