package poison

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// BenchmarkCheck measures the check before a send and the record of its answer, of prompts with few
// and with many parts, while four crashes under all but one of them are known.
func BenchmarkCheck(b *testing.B) {
	for _, parts := range []int{5, 64, 2000, request.MaxParts} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			now := time.Now()
			d := New(Options{
				Now: func() time.Time { return now }, Incarnation: func(ident.Target) (ident.Incarnation, bool) { return 0, false },
				Send: func(*Evidence) {}, Log: slog.New(slog.DiscardHandler),
			})
			shared := sharedParts(parts)
			for i := range minCrashes {
				d.merge(&Evidence{Crashes: []Crash{{Incarnation: uint64(i), At: now.UnixMilli(), Lost: []Prompt{{Own: uint64(i), Parts: append([]uint64{bad}, shared[1:]...)}}}}}, true)
			}
			req := &request.Request{PartIDs: shared}
			now = now.Add(time.Second)
			d.Answered(req)
			for b.Loop() {
				if _, err := d.Check(req); err != nil {
					b.Fatal(err)
				}
				d.Answered(req)
			}
		})
	}
}
