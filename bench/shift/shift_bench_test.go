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
var whole = []string{"round robin", "least outstanding", "ours", "ours, with roles", "ours, all dependable"}

// partTraces are the traces on which parts are left out.
var partTraces = []string{"swing", "flood", "reclaim", "late reports"}

// printRow prints one run's figures as a row of the table.
func printRow(f *figures) {
	fmt.Printf("| %s | %s | %s | %.3f | %.3f | %.4f | %.4f | %.4f | %d | %.3f | %.2f | %d |\n", f.Deployment, f.Trace, f.Policy,
		f.Goodput, f.Worst, f.Lookups, f.Interactive, f.Deferrable, f.Changes, f.Spend, f.Cheap, f.Harmed)
}

// printTable plays the policies that are kept and prints the rows in order, each
// as soon as those before it are there.
func printTable(scale float64, keep func(t *trace, p *policy) bool) []*figures {
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
	list := make([]*figures, len(rows))
	for i, row := range rows {
		list[i] = <-row
		printRow(list[i])
	}
	wait.Wait()
	return list
}

// find returns a run's figures.
func find(list []*figures, deployment, trace, policy string) *figures {
	at := slices.IndexFunc(list, func(f *figures) bool {
		return f.Deployment == deployment && f.Trace == trace && f.Policy == policy
	})
	return list[at]
}

// checkBounds fails the benchmark where a target is missed at full length.
func checkBounds(b *testing.B, list []*figures) {
	b.Helper()
	for _, f := range list {
		if f.Policy != "ours" {
			continue
		}
		dependable := find(list, f.Deployment, f.Trace, "ours, all dependable")
		calm := find(list, f.Deployment, "swing", "ours")
		var missed bool
		switch f.Trace {
		case "swing", "crash", "outage", "late reports":
			missed = f.Goodput < leastGoodput || f.Changes > mostChanges
		case "blip":
			missed = f.Changes > 0
		case "flood":
			missed = f.Worst < leastWorst
		case "reclaim":
			missed = f.Interactive < leastInteractive*calm.Interactive || f.Deferrable < leastDeferrable
		case "drift":
			missed = f.Interactive < leastInteractive*dependable.Interactive
		}
		if missed || f.Lookups < leastLookups || f.Spend > mostSpend*dependable.Spend {
			b.Errorf("a target is missed: %s, %s", f.Deployment, f.Trace)
		}
	}
}

// BenchmarkShift prints the figures of the baselines and of ours for every
// deployment and trace, and fails where ours misses a target.
func BenchmarkShift(b *testing.B) {
	for range b.N {
		checkBounds(b, printTable(1, func(_ *trace, p *policy) bool { return slices.Contains(whole, p.name) }))
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
