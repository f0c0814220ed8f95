package admission

import (
	"fmt"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// benchStep is the time between two requests of the benchmark.
const benchStep = 20 * time.Millisecond

// BenchmarkSlopeQueue is one request through the queue while one of each
// workspace waits.
func BenchmarkSlopeQueue(b *testing.B) {
	for _, workspaces := range []int{8, 64, 310} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			bed := newBed(1, Off{})
			bed.gate.used = 1
			for i := range workspaces {
				if _, err := bed.offer(fmt.Sprintf("w%d", i), ident.ClassInteractive, 0); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				bed.now = bed.now.Add(benchStep)
				bed.gate.used = 0
				run, _ := bed.queue.Pump()
				bed.gate.used = 1
				for _, e := range run {
					bed.queue.Release(e, request.TokenUsage{PromptTokens: 100, OutputTokens: 10})
					if _, err := bed.offer(string(e.Request.Workspace), ident.ClassInteractive, 0); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
