package backlog

import "amaranthplank.example/amaranthplank/pkg/ident"

// Outstanding is the number of prompt tokens that a daemon has sent to one target
// and that are not known to be computed yet.
type Outstanding struct {
	Target ident.Target
	// Urgent counts the tokens of requests with urgency 0, the most urgent, and
	// Other those of all other requests.
	Urgent float64
	Other  float64
}
