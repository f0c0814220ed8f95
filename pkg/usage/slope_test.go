package usage

import (
	"fmt"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// benchmarkWindow is the window length of the benchmarks.
const benchmarkWindow = time.Minute

// benchmarkCheckpoint returns a host's checkpoint whose closed batch has the
// given number of lines.
func benchmarkCheckpoint(host, lines int) Checkpoint {
	s := newSourceState(SourceID{Host: ident.Host(fmt.Sprintf("host-%03d", host)), Incarnation: 1}, 0, benchmarkWindow)
	for i := range lines {
		s.record(Record{
			Workspace: ident.Workspace(fmt.Sprintf("workspace-%d", i/2)), Model: ident.Model(fmt.Sprintf("model-%d", i%25)),
			At: time.UnixMilli(1000), Tokens: request.TokenUsage{PromptTokens: 70000, OutputTokens: 9000},
		}, benchmarkWindow)
	}
	s.rollOver(timestampOf(time.UnixMilli(61000)), benchmarkWindow)
	return s.checkpoint()
}

// BenchmarkSlopeCheckpoint measures encoding a checkpoint by its number of lines.
func BenchmarkSlopeCheckpoint(b *testing.B) {
	for _, lines := range []int{16, 160, 620} {
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			checkpoint := benchmarkCheckpoint(1, lines)
			var value []byte
			for b.Loop() {
				value, _ = encodeCheckpoint(&checkpoint)
			}
			b.ReportMetric(float64(len(value)), "checkpoint-B")
		})
	}
}

// BenchmarkSlopeClose measures closing a window by the number of daemons: it
// decodes their checkpoints and freezes the window.
func BenchmarkSlopeClose(b *testing.B) {
	for _, daemons := range []int{8, 64, 330} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			var values [][]byte
			for i := range daemons {
				checkpoint := benchmarkCheckpoint(i, 160)
				value, err := encodeCheckpoint(&checkpoint)
				if err != nil {
					b.Fatal(err)
				}
				values = append(values, value)
			}
			size := 0
			for b.Loop() {
				var checkpoints []Checkpoint
				for _, value := range values {
					checkpoint, err := decodeCheckpoint(value)
					if err != nil {
						b.Fatal(err)
					}
					checkpoints = append(checkpoints, checkpoint)
				}
				frozen := FreezeWindow(nil, checkpoints, 0, 0, timestampOf(time.UnixMilli(60000)))
				value, _ := encodeFrozen(&frozen)
				size = len(value)
			}
			b.ReportMetric(float64(size), "frozen-B")
		})
	}
}
