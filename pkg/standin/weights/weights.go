// Package weights is a stand-in for the rate-limited weight store.
package weights

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Store lets one load start per interval.
type Store struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

var _ external.WeightStore = (*Store)(nil)

// New returns a store that lets a load start each interval.
func New(interval time.Duration) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Every(interval), 1)}
}

// Reserve returns how long to wait before loading.
func (s *Store) Reserve(_ context.Context, _ ident.Model) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Reserve().Delay(), nil
}
