package shift

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, d := range deployments() {
		for _, name := range []string{"least outstanding", "ours"} {
			start := time.Now()
			f := measure(d, traces(0.4)[0], policyNamed(name), true)
			for _, k := range d.kinds {
				c := f.tally.byKind[k.name]
				t.Logf("  %-12s offered %d answered %.3f refused %.3f", k.name, c.offered, ratio(*c), float64(c.refused)/float64(c.offered))
			}
			t.Logf("%s %s goodput %.3f worst %.3f lookups %.4f int %.4f def %.4f changes %d took %v", d.name, name, f.Goodput, f.Worst, f.Lookups, f.Interactive, f.Deferrable, f.Changes, time.Since(start))
		}
	}
}
