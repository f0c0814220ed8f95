package targetwatch

import (
	"fmt"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// BenchmarkSlopeMerge measures the cost of merging the view by the number of
// targets.
func BenchmarkSlopeMerge(b *testing.B) {
	for _, size := range []int{16, 160, 650} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			shared := &sharedItems{items: make(map[dissemination.Instance]map[dissemination.Key]dissemination.StoredItem)}
			reader := memoryDissemination{shared, dissemination.Instance{Host: "reader", Incarnation: 1}}
			for i := range size {
				name := ident.Target(fmt.Sprintf("engine-%d", i))
				key := dissemination.Key{Section: dissemination.SectionTarget, Name: string(name)}
				_ = reader.Publish(key, external.TargetRecord{Target: name, Address: "10.0.0.1:80", Model: "m"}, false)
				key.Section = dissemination.SectionLoad
				_ = reader.Publish(key, loadItem(fleet.LoadReport{Sequence: 1, Running: 7, Slots: 16}), false)
			}
			_ = reader.Publish(dissemination.Key{Section: dissemination.SectionListed}, 1, false)
			w := NewShared(Options{Self: "b", Dissemination: memoryDissemination{shared, dissemination.Instance{Host: "b", Incarnation: 1}}})
			for b.Loop() {
				view := w.merge(time.Now())
				w.current.Store(fleet.NewSnapshot(view.states()))
			}
		})
	}
}
