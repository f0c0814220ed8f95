package burn

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Window is a time span over which burn rates are computed.
type Window struct {
	Name   string        `json:"name"`
	Length time.Duration `json:"length"`
}

// Windows returns the windows of the report, the shortest first.
func Windows() []Window {
	return []Window{{"5m", 5 * time.Minute}, {"30m", 30 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", 72 * time.Hour}}
}

// Report holds the burn rates of the error budgets.
type Report struct {
	At      time.Time `json:"at"`
	Windows []Window  `json:"windows"`
	// Rows are ordered by the burn rate of the shortest window, the highest
	// first.
	Rows []Row `json:"rows"`
	// Missing counts pages that could not be decoded.
	Missing int `json:"missing"`
}

// Row holds the burn rates of one objective of a workspace and route.
type Row struct {
	Workspace ident.Workspace `json:"workspace"`
	Route     ident.Route     `json:"route"`
	Objective string          `json:"objective"`
	// Share is the share of requests that must meet the objective.
	Share float64 `json:"share"`
	// Cells are in the order of the report's windows.
	Cells []Cell `json:"cells"`
}

// Cell holds the counts and burn rate of an objective over one window.
type Cell struct {
	Total uint64  `json:"total"`
	Bad   uint64  `json:"bad"`
	Rate  float64 `json:"rate"`
}

// KnobSource returns a subject's knobs, which are values that the defaults and
// exceptions of the dynamic configuration set; here, the objectives.
type KnobSource func(subject Subject) *config.BurnKnobs

// NewReport computes the report from the fleet's slots.
func NewReport(now time.Time, slots Slots, knobs KnobSource) Report {
	report := Report{At: now, Windows: Windows()}
	sums := make([]map[Subject]*Counts, len(report.Windows))
	for i, window := range report.Windows {
		sums[i] = slots.sumSince(now, window.Length)
	}
	for subject := range sums[len(sums)-1] {
		for o := range objectiveCount {
			if row := newRow(subject, o, sums, knobs(subject)); row.Cells[len(sums)-1].Total > 0 {
				report.Rows = append(report.Rows, row)
			}
		}
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Cells[0].Rate, a.Cells[0].Rate), cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Objective, b.Objective))
	})
	return report
}

// newRow computes one row.
func newRow(subject Subject, o Objective, sums []map[Subject]*Counts, knobs *config.BurnKnobs) Row {
	row := Row{Workspace: subject.Workspace, Route: subject.Route, Objective: o.String(), Share: o.share(knobs)}
	for _, sum := range sums {
		var tally Tally
		if counts := sum[subject]; counts != nil {
			tally = counts[o]
		}
		row.Cells = append(row.Cells, Cell{tally.Total, tally.Bad, tally.Rate(row.Share)})
	}
	return row
}
