package demand

// Demand is the work of one model in engines: the engine seconds that each
// second brings.
type Demand struct {
	// Prefill is the work of prompts, Decode that of answers.
	Prefill float64
	Decode  float64
	// Deferrable is the part of both whose class is deferrable.
	Deferrable float64
}

// Total returns all work.
func (d Demand) Total() float64 { return d.Prefill + d.Decode }

// Interactive returns the work that callers wait for, lookups included.
func (d Demand) Interactive() float64 { return max(0, d.Total()-d.Deferrable) }
