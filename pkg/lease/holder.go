package lease

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Work is what a process does while it holds a duty. It returns when ctx ends,
// which it does when the authority ends.
type Work func(ctx context.Context, authority Authority) error

// Holder competes for duties and runs their work.
type Holder interface {
	// Run competes for one duty until ctx ends, and runs work each time it
	// holds it. A planned stop releases the duty.
	Run(ctx context.Context, duty ident.Duty, work Work) error
}
