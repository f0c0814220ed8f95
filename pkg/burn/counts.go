package burn

// Tally counts the requests that an objective applied to, and those that
// missed it.
type Tally struct {
	Total uint64
	Bad   uint64
}

// Counts holds a tally for each objective.
type Counts [objectives]Tally

// add counts one request.
func (c *Counts) add(o Objective, good bool) {
	c[o].Total++
	if !good {
		c[o].Bad++
	}
}

// merge adds other counts.
func (c *Counts) merge(other *Counts) {
	for o := range c {
		c[o].Total += other[o].Total
		c[o].Bad += other[o].Bad
	}
}

// Rate returns how fast the budget of an objective burns that the given share
// of requests must keep. It is zero without requests.
func (t Tally) Rate(share float64) float64 {
	if t.Total == 0 {
		return 0
	}
	budget := max(1-share, minBudget)
	return float64(t.Bad) / float64(t.Total) / budget
}

// minBudget stands in for the budget of an objective without one, so that its
// rate stays finite.
const minBudget = 1e-6
