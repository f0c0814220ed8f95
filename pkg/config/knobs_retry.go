package config

// RetryKnobs control timeouts, retries and hedging of requests.
type RetryKnobs struct {
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int64 `json:"maxAttempts" default:"3" unit:"attempts" min:"1" max:"10"`
	// Timeout is the timeout of a request whose caller gives no deadline.
	Timeout Duration `json:"timeout" default:"5m" unit:"duration" min:"100ms" max:"24h"`
	// SilenceTimeout is how long a stream, or the response to an idempotent
	// lookup, may deliver nothing before the stream is resumed on a new
	// connection or the request is sent to another target. A request that can't
	// be sent elsewhere waits on, and so does a stream that its target does not
	// keep once the caller has a part of it.
	SilenceTimeout Duration `json:"silenceTimeout" default:"5s" unit:"duration" min:"100ms" max:"10m"`
	// BudgetRatio limits retries to a share of a route's requests.
	BudgetRatio float64 `json:"budgetRatio" default:"0.1" unit:"ratio" min:"0" max:"1"`
	// BudgetBurst is how many retries a route may make in a row after a time
	// without retries.
	BudgetBurst float64 `json:"budgetBurst" default:"10" unit:"retries" min:"0" max:"1000"`
	// MaxTimeout limits the deadline that a caller may give.
	MaxTimeout Duration `json:"maxTimeout" default:"30m" unit:"duration" min:"100ms" max:"24h"`
	// HedgeAfter is how long a lookup waits for its answer before it is sent
	// to a second target as well; zero means never.
	HedgeAfter Duration `json:"hedgeAfter" default:"0s" unit:"duration" min:"0s" max:"1m"`
}
