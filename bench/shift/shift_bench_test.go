package shift

import (
	"fmt"
	"slices"
	"sync"
	"testing"
)

const (
	// workers bounds the runs at once.
	workers = 6
	// partsScale shortens the traces on which parts are left out.
	partsScale = 0.5
)

// whole are the policies that are played over every trace.
var whole = []string{"round robin", "least outstanding", "ours", "ours, all dependable"}

// partTraces are the traces on which parts are left out.
var partTraces = []string{"swing", "flood", "reclaim", "late reports"}

// printRow prints one run's figures as a row of the table.
func printRow(f *figures) {
	fmt.Printf("| %s | %s | %s | %.3f | %.3f | %.4f | %.4f | %.4f | %d | %.3f | %.2f | %d |\n", f.Deployment, f.Trace, f.Policy,
		f.Goodput, f.Worst, f.Lookups, f.Interactive, f.Deferrable, f.Changes, f.Spend, f.Cheap, f.Harmed)
}

// printTable plays the policies that are kept and prints the rows in order, each
// as soon as those before it are there.
func printTable(scale float64, keep func(t *trace, p *policy) bool) {
	fmt.Println("\n| deployment | trace | policy | goodput | worst | lookups | interactive | deferrable | changes | spend | cheap | harmed |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	var wait sync.WaitGroup
	var rows []chan *figures
	slots := make(chan struct{}, workers)
	for _, d := range deployments() {
		for _, t := range traces(scale) {
			for _, p := range policies() {
				if !keep(t, p) {
					continue
				}
				row := make(chan *figures, 1)
				rows = append(rows, row)
				wait.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					f := measure(d, t, p, true)
					row <- &f
				})
			}
		}
	}
	for _, row := range rows {
		printRow(<-row)
	}
	wait.Wait()
}

// BenchmarkShift prints the figures of the baselines and of ours for every
// deployment and trace.
func BenchmarkShift(b *testing.B) {
	for range b.N {
		printTable(1, func(_ *trace, p *policy) bool { return slices.Contains(whole, p.name) })
	}
}

// BenchmarkShiftParts prints the figures with each part left out.
func BenchmarkShiftParts(b *testing.B) {
	for range b.N {
		printTable(partsScale, func(t *trace, p *policy) bool {
			return slices.Contains(partTraces, t.name) && (p.name == "ours" || !slices.Contains(whole, p.name))
		})
	}
}
