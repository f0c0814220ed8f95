package burn

// Tally counts the requests to which an objective applied, and those that missed
// it.
type Tally struct {
	Total uint64
	Bad   uint64
}

// Counts holds a tally for each objective.
type Counts [objectiveCount]Tally

// add counts one request.
func (c *Counts) add(o Objective, good bool) {
	c[o].Total++
	if !good {
		c[o].Bad++
	}
}

// merge adds the other counts.
func (c *Counts) merge(other *Counts) {
	for o := range c {
		c[o].Total += other[o].Total
		c[o].Bad += other[o].Bad
	}
}

// Rate returns the burn rate of the error budget of an objective that the given
// share of requests must meet. It is zero without requests.
func (t Tally) Rate(share float64) float64 {
	if t.Total == 0 {
		return 0
	}
	budget := max(1-share, minErrorBudget)
	return float64(t.Bad) / float64(t.Total) / budget
}

// minErrorBudget replaces smaller error budgets, so that the rate of an
// objective without an error budget stays finite.
const minErrorBudget = 1e-6
