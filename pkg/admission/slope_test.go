package admission

import (
	"fmt"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// benchInterval is the time between two requests of the benchmark.
const benchInterval = 20 * time.Millisecond

// BenchmarkSlopeQueue measures one request through the queue while one request of
// each workspace waits.
func BenchmarkSlopeQueue(b *testing.B) {
	for _, workspaces := range []int{8, 64, 310} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			fixture := newQueueFixture(1, DisabledParts{})
			fixture.gate.used = 1
			for i := range workspaces {
				if _, err := fixture.offer(fmt.Sprintf("w%d", i), ident.ClassInteractive, 0); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				fixture.now = fixture.now.Add(benchInterval)
				fixture.gate.used = 0
				run, _ := fixture.queue.Dispatch()
				fixture.gate.used = 1
				for _, e := range run {
					fixture.queue.Release(e, request.TokenUsage{PromptTokens: 100, OutputTokens: 10})
					if _, err := fixture.offer(string(e.Request.Workspace), ident.ClassInteractive, 0); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
