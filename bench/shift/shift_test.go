package shift

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, d := range deployments() {
		for _, name := range []string{"least outstanding", "ours"} {
			start := time.Now()
			f := measure(d, traces(0.3)[0], policyNamed(name), true)
			t.Logf("%s %s goodput %.3f worst %.3f lookups %.4f int %.4f def %.4f changes %d took %v", d.name, name, f.Goodput, f.Worst, f.Lookups, f.Interactive, f.Deferrable, f.Changes, time.Since(start))
		}
	}
}
