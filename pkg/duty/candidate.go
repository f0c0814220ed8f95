package duty

import "amaranthplank.example/amaranthplank/pkg/ident"

// Candidate is one process that may hold a duty.
type Candidate struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
}
