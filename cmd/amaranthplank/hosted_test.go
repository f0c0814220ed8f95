package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/gateway"
	"amaranthplank.example/amaranthplank/platform"
)

// TestLimitsHaveTheWindow guards against a burst of retries right after a start, which
// limits without the window of the settings would allow.
func TestLimitsHaveTheWindow(t *testing.T) {
	got := limitsOf(&platform.Settings{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second})
	must.Eq(t, gateway.Limits{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}, got)
}
