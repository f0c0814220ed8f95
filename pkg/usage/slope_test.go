package usage

import (
	"fmt"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// slopeWindow is the window that the slopes are measured with.
const slopeWindow = time.Minute

// slopeCheckpoint returns a checkpoint with an open window of so many lines.
func slopeCheckpoint(host, lines int) Checkpoint {
	s := newState(SourceID{Host: ident.Host(fmt.Sprintf("host-%03d", host)), Incarnation: 1}, 0, slopeWindow)
	for i := range lines {
		s.record(Record{
			Workspace: ident.Workspace(fmt.Sprintf("workspace-%d", i/2)), Model: ident.Model(fmt.Sprintf("model-%d", i%25)),
			At: time.UnixMilli(1000), Figures: request.TokenUsage{PromptTokens: 70000, OutputTokens: 9000},
		}, slopeWindow)
	}
	s.roll(stampOf(time.UnixMilli(61000)), slopeWindow)
	return s.checkpoint()
}

// BenchmarkSlopeCheckpoint shows what a daemon's checkpoint costs by its lines.
func BenchmarkSlopeCheckpoint(b *testing.B) {
	for _, lines := range []int{16, 160, 620} {
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			checkpoint := slopeCheckpoint(1, lines)
			var value []byte
			for b.Loop() {
				value, _ = encodeCheckpoint(&checkpoint)
			}
			b.ReportMetric(float64(len(value)), "checkpoint-B")
		})
	}
}

// BenchmarkSlopeClose shows what closing one window costs by the daemons: their
// checkpoints are read and the figures are frozen.
func BenchmarkSlopeClose(b *testing.B) {
	for _, daemons := range []int{8, 64, 330} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			var values [][]byte
			for i := range daemons {
				checkpoint := slopeCheckpoint(i, 160)
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
				frozen := Freeze(nil, checkpoints, 0, 0, stampOf(time.UnixMilli(60000)))
				value, _ := encodeFrozen(&frozen)
				size = len(value)
			}
			b.ReportMetric(float64(size), "frozen-B")
		})
	}
}
