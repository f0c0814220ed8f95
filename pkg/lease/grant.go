package lease

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// grant is the authority over one duty under one tenure.
type grant struct {
	duty    ident.Duty
	fencing ident.Fencing
	tenure  *tenure
	once    sync.Once
	// over is closed once the duty was given up or found with another holder.
	over chan struct{}
}

var _ Authority = (*grant)(nil)

// Duty returns the duty that is held.
func (g *grant) Duty() ident.Duty { return g.duty }

// Fencing returns the number that every effect must bear.
func (g *grant) Fencing() ident.Fencing { return g.fencing }

// Check fails with ErrLost unless the duty is surely held now.
func (g *grant) Check() error {
	select {
	case <-g.over:
		return ErrLost
	default:
	}
	if g.tenure.left() <= 0 {
		return ErrLost
	}
	return nil
}

// end ends the authority over this duty alone.
func (g *grant) end() { g.once.Do(func() { close(g.over) }) }
