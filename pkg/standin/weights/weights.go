// Package weights simulates the platform's rate-limited weight store.
package weights

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Store allows one model load to start per interval, over all models.
type Store struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

var _ external.WeightStore = (*Store)(nil)

// New returns a store that allows one load per interval.
func New(interval time.Duration) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Every(interval), 1)}
}

// Reserve reserves the next load and returns how long the caller must wait before
// starting it.
func (s *Store) Reserve(_ context.Context, _ ident.Model) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Reserve().Delay(), nil
}
