package lease

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Work is what a process does while it holds a duty. It must return when ctx is
// canceled, which happens when the authority ends.
type Work func(ctx context.Context, authority Authority) error

// Runner competes for duties and runs their work while it holds them.
type Runner interface {
	// Run competes for one duty until ctx is canceled and runs work each time
	// the process becomes its holder. Canceling ctx releases the duty.
	Run(ctx context.Context, duty ident.Duty, work Work) error
}
