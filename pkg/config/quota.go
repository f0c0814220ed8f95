package config

import (
	"fmt"
	"math"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	// QuotaRequests counts each request once.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the tokens of a request's prompt and of its answer.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota is the limit of one workspace over all daemons together.
type Quota struct {
	Unit QuotaUnit
	// PerSecond is in units per second, and Burst in units.
	PerSecond, Burst float64
	// PlainTokens is what a request counts that states no tokens, if Unit is QuotaTokens.
	PlainTokens float64
}

// Check returns an error of kind Invalid that names the workspace if the quota can't be
// enforced.
func (q *Quota) Check(workspace ident.Workspace) error {
	if q.Unit != QuotaRequests && q.Unit != QuotaTokens {
		return fault.New(fault.Invalid, fmt.Sprintf("the quota of workspace %q has the unknown unit %q", workspace, q.Unit),
			fmt.Sprintf("write %q or %q", QuotaRequests, QuotaTokens))
	}
	for _, value := range []float64{q.PerSecond, q.Burst, q.PlainTokens} {
		if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
			return fault.New(fault.Invalid, fmt.Sprintf("the quota of workspace %q has a negative or infinite number", workspace),
				"write numbers from 0")
		}
	}
	return nil
}

// Cost returns what a request with the given numbers of tokens counts.
func (q *Quota) Cost(promptTokens, outputTokens int) float64 {
	tokens := float64(promptTokens) + float64(outputTokens)
	switch {
	case q.Unit == QuotaRequests:
		return 1
	case tokens <= 0:
		return q.PlainTokens
	}
	return tokens
}
