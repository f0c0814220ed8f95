package ctl

import (
	"fmt"
	"math"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/burn"
)

const (
	// plotWidth is the width of the longest bar in characters.
	plotWidth = 40
	// plotDecades is how many powers of ten the bars span, starting at a burn
	// rate of 0.01.
	plotDecades = 5
	// plotStart is the power of ten of the burn rate at the bars' left end.
	plotStart = -2
)

// printReport prints at most limit rows of the report, or all if limit is 0, with
// bars if plot is set.
func printReport(env Env, report burn.Report, limit int, plot bool) {
	rows := report.Rows
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	header := fmt.Sprintf("%-20s %-20s %-12s %8s", "WORKSPACE", "ROUTE", "OBJECTIVE", "SHARE")
	for _, window := range report.Windows {
		header += fmt.Sprintf(" %9s", window.Name)
	}
	env.printf("%s", header)
	for i := range rows {
		env.printf("%s", tableLine(&rows[i]))
		if plot {
			printBars(env, report.Windows, &rows[i])
		}
	}
	if hidden := len(report.Rows) - len(rows); hidden > 0 {
		env.printf("%d more rows; raise -rows to print them", hidden)
	}
	if report.Missing > 0 {
		env.errorf("%d checkpoints could not be read; run the same version on every host", report.Missing)
	}
}

// tableLine formats a row of the table. A dash means that there were no requests.
func tableLine(row *burn.Row) string {
	line := fmt.Sprintf("%-20s %-20s %-12s %7.2f%%", row.Workspace, row.Route, row.Objective, 100*row.Share)
	for _, cell := range row.Cells {
		if cell.Total == 0 {
			line += fmt.Sprintf(" %9s", "-")
			continue
		}
		line += fmt.Sprintf(" %9.2f", cell.Rate)
	}
	return line
}

// printBars draws a row's burn rates as bars on a logarithmic scale. A rate of one is
// marked unless the bar covers it.
func printBars(env Env, windows []burn.Window, row *burn.Row) {
	for i, cell := range row.Cells {
		env.printf("  %4s |%s", windows[i].Name, bar(cell.Rate))
	}
}

// bar returns the bar of one burn rate.
func bar(rate float64) string {
	const one = -plotStart * plotWidth / plotDecades
	length := 0
	if rate > 0 {
		length = int(math.Round((math.Log10(rate) - plotStart) / plotDecades * plotWidth))
	}
	length = min(max(length, 0), plotWidth)
	drawn := []rune(strings.Repeat("#", length) + strings.Repeat(" ", plotWidth-length))
	if length <= one {
		drawn[one] = '|'
	}
	return strings.TrimRight(string(drawn), " ")
}
