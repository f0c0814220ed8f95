package shift

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"text/tabwriter"
)

// workers bounds the runs at once.
const workers = 6

// table plays every policy over every trace of every deployment.
func table(scale float64, keep func(d *deployment, t *trace, p *policy) bool) []figures {
	var all []*figures
	var wait sync.WaitGroup
	slots := make(chan struct{}, workers)
	for _, d := range deployments() {
		for _, t := range traces(scale) {
			for _, p := range policies() {
				if !keep(d, t, p) {
					continue
				}
				f := new(figures)
				all = append(all, f)
				wait.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					*f = measure(d, t, p, true)
				})
			}
		}
	}
	wait.Wait()
	list := make([]figures, len(all))
	for i, f := range all {
		list[i] = *f
	}
	return list
}

// BenchmarkShift prints the table of figures by deployment, trace and policy.
func BenchmarkShift(b *testing.B) {
	for range b.N {
		list := table(1, func(*deployment, *trace, *policy) bool { return true })
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "deployment\ttrace\tpolicy\tgoodput\tworst\tlookups\tinteractive\tdeferrable\tchanges\tspend\tcheap\tharmed")
		for _, f := range list {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.4f\t%.4f\t%.4f\t%d\t%.3f\t%.2f\t%d\n", f.Deployment, f.Trace, f.Policy,
				f.Goodput, f.Worst, f.Lookups, f.Interactive, f.Deferrable, f.Changes, f.Spend, f.Cheap, f.Harmed)
		}
		_ = w.Flush()
	}
}
