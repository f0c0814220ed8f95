package demand

// Demand is the load of one model, in engines: the engine-seconds of work that
// arrive per second.
type Demand struct {
	// Prefill is the work of computing prompts, Decode that of generating
	// answers.
	Prefill float64
	Decode  float64
	// Deferrable is the part of both that belongs to deferrable requests.
	Deferrable float64
}

// Total returns the sum of prefill and decode work.
func (d Demand) Total() float64 { return d.Prefill + d.Decode }

// Interactive returns the work of requests that are not deferrable, lookups
// included.
func (d Demand) Interactive() float64 { return max(0, d.Total()-d.Deferrable) }
