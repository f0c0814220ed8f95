package duty

import "amaranthplank.example/amaranthplank/pkg/ident"

// Candidate is a process that may hold a duty.
type Candidate struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
}
