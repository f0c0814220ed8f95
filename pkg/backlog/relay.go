package backlog

// maxRelayed bounds what waits to be told to the sinks. What comes beyond it is
// not told them.
const maxRelayed = 2048

// relay gathers what a cell's daemons tell, for those of other cells.
type relay struct {
	// own is what the daemon itself has outstanding.
	own    []Outstanding
	placed []Placed
	away   []Away
}

// add takes in a report of the cell.
func (r *relay) add(report *Report) {
	if len(r.placed) < maxRelayed {
		r.placed = append(r.placed, report.Placed...)
	}
	if len(r.away) < maxRelayed {
		r.away = append(r.away, report.Away...)
	}
}

// addOwn takes in the daemon's own report.
func (r *relay) addOwn(report *Report) {
	r.own = report.Outstanding
	r.add(report)
}

// take returns what was gathered, and forgets it.
func (r *relay) take() Report {
	report := Report{Outstanding: r.own, Placed: r.placed, Away: r.away}
	r.placed, r.away = nil, nil
	return report
}
