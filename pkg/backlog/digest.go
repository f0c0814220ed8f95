package backlog

// maxGathered bounds what waits to be told to the sinks. What comes beyond it is
// not told them.
const maxGathered = 2048

// digest gathers what a cell's daemons tell, for those of other cells.
type digest struct {
	// own is what the daemon itself has outstanding.
	own    []Outstanding
	placed []Placed
	away   []Away
}

// add takes in a report of the cell.
func (d *digest) add(report *Report) {
	if len(d.placed) < maxGathered {
		d.placed = append(d.placed, report.Placed...)
	}
	if len(d.away) < maxGathered {
		d.away = append(d.away, report.Away...)
	}
}

// addOwn takes in the daemon's own report.
func (d *digest) addOwn(report *Report) {
	d.own = report.Outstanding
	d.add(report)
}

// take returns what was gathered, and forgets it.
func (d *digest) take() Report {
	report := Report{Outstanding: d.own, Placed: d.placed, Away: d.away}
	d.placed, d.away = nil, nil
	return report
}
