package shift

import (
	"fmt"
	"slices"
	"sync"
	"testing"
)

const (
	// maxConcurrentRuns is the maximum number of concurrent runs.
	maxConcurrentRuns = 6
	// ablationScale shortens the traces on which single parts are disabled.
	ablationScale = 0.5
)

// fullTracePolicies are the policies that run on every trace at full length.
var fullTracePolicies = []string{"round robin", "least outstanding", "ours", "ours, with roles", "ours, all dependable"}

// ablationTraces are the traces on which single parts are disabled.
var ablationTraces = []string{"swing", "flood", "reclaim", "late reports"}

// printRow prints one run's figures as a row of the table. The columns worst, cheap
// and harmed are the fields WorstWorkspace, ReclaimableShare and MissedAfterLoss.
func printRow(f *figures) {
	fmt.Printf("| %s | %s | %s | %.3f | %.3f | %.4f | %.4f | %.4f | %d | %.3f | %.2f | %d |\n", f.Deployment, f.Trace, f.Policy,
		f.Goodput, f.WorstWorkspace, f.Lookups, f.Interactive, f.Deferrable, f.Changes, f.Spend, f.ReclaimableShare, f.MissedAfterLoss)
}

// printTable simulates the traces and policies for which keep returns true and
// prints their rows in order, each as soon as those before it are printed.
func printTable(scale float64, keep func(t *trace, p *policy) bool) []*figures {
	fmt.Println("\n| deployment | trace | policy | goodput | worst | lookups | interactive | deferrable | changes | spend | cheap | harmed |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	var wait sync.WaitGroup
	var rows []chan *figures
	running := make(chan struct{}, maxConcurrentRuns)
	for _, d := range deployments() {
		for _, t := range traces(scale) {
			for _, p := range policies() {
				if !keep(t, p) {
					continue
				}
				row := make(chan *figures, 1)
				rows = append(rows, row)
				wait.Go(func() {
					running <- struct{}{}
					defer func() { <-running }()
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

// checkBounds fails the benchmark where the policy ours misses a performance
// target.
func checkBounds(b *testing.B, list []*figures) {
	b.Helper()
	for _, f := range list {
		if f.Policy != "ours" {
			continue
		}
		dependable := find(list, f.Deployment, f.Trace, "ours, all dependable")
		swing := find(list, f.Deployment, "swing", "ours")
		var missed bool
		switch f.Trace {
		case "swing", "crash", "outage", "late reports":
			missed = f.Goodput < minGoodput || f.Changes > maxChanges
		case "blip":
			missed = f.Changes > 0
		case "flood":
			missed = f.WorstWorkspace < minWorstWorkspace
		case "reclaim":
			missed = f.Interactive < minInteractive*swing.Interactive || f.Deferrable < minDeferrable
		case "drift":
			missed = f.Interactive < minInteractive*dependable.Interactive
		}
		if missed || f.Lookups < minLookups || f.Spend > maxSpend*dependable.Spend {
			b.Errorf("a performance target is missed: %s, %s", f.Deployment, f.Trace)
		}
	}
}

// BenchmarkShift prints the figures of fullTracePolicies for every deployment and
// trace, and fails where the policy ours misses a performance target.
func BenchmarkShift(b *testing.B) {
	for range b.N {
		checkBounds(b, printTable(1, func(_ *trace, p *policy) bool { return slices.Contains(fullTracePolicies, p.name) }))
	}
}

// BenchmarkShiftParts prints the figures of the policy ours and of those with one
// part disabled, on some traces of half the length.
func BenchmarkShiftParts(b *testing.B) {
	for range b.N {
		printTable(ablationScale, func(t *trace, p *policy) bool {
			return slices.Contains(ablationTraces, t.name) && (p.name == "ours" || !slices.Contains(fullTracePolicies, p.name))
		})
	}
}
