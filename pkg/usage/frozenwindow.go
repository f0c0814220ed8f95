package usage

import (
	"fmt"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// FrozenWindow is a closed window of one shard. It is written to the store once
// and never changes; its watermarks continue those of the previous window.
type FrozenWindow struct {
	Shard int
	// Sequence counts the shard's windows, starting at one.
	Sequence uint64
	Start    Timestamp
	End      Timestamp
	// Watermarks map each source that still has a checkpoint to the number of
	// the last batch included in this or an earlier window.
	Watermarks map[SourceID]uint64
	Lines      []Line
}

// FrozenPrefix is the key prefix of the frozen windows in the store.
const FrozenPrefix external.Key = "usage/frozen/"

// frozenKey returns the store key of a window.
func frozenKey(shard int, sequence uint64) external.Key {
	return FrozenPrefix + external.Key(fmt.Sprintf("%d/%012d", shard, sequence))
}

// Duty returns the duty of reporting one shard.
func Duty(shard int) ident.Duty { return ident.Duty(fmt.Sprintf("usage/%d", shard)) }

// NextWindow returns the bounds of the window after previous, and whether that
// window and its grace period have ended. If previous is nil, it returns the
// newest window that is due. Windows are contiguous and never overlap, so a
// change of the length applies to the next window.
func NextWindow(previous *FrozenWindow, now Timestamp, length, grace time.Duration) (start, end Timestamp, due bool) {
	if previous == nil {
		start = now.add(-grace).add(-length).align(length)
		return start, start.add(length), true
	}
	start = previous.End
	end = start.align(length).add(length)
	return start, end, now >= end.add(grace)
}

// FreezeWindow returns the shard's next window. It includes each source's closed
// batches that end by the end of the window and that no earlier window includes.
// Late usage is thus included in a later window, with the time of its use
// preserved. The checkpoints must have been read after the previous window was
// frozen.
func FreezeWindow(previous *FrozenWindow, checkpoints []Checkpoint, shard int, start, end Timestamp) FrozenWindow {
	frozen := FrozenWindow{Shard: shard, Sequence: 1, Start: start, End: end, Watermarks: make(map[SourceID]uint64)}
	var watermarks map[SourceID]uint64
	if previous != nil {
		frozen.Sequence = previous.Sequence + 1
		watermarks = previous.Watermarks
	}
	windowTotals := make(totals)
	for i := range checkpoints {
		source := checkpoints[i].Source
		watermark := addDueBatches(windowTotals, &checkpoints[i], watermarks[source], shard, end)
		if watermark > 0 {
			frozen.Watermarks[source] = watermark
		}
	}
	frozen.Lines = windowTotals.lines()
	return frozen
}

// addDueBatches adds a source's due batches after the watermark to the totals
// and returns the new watermark. It stops at the first batch that is not due, so
// that the watermark covers exactly the batches included.
func addDueBatches(windowTotals totals, checkpoint *Checkpoint, watermark uint64, shard int, end Timestamp) uint64 {
	for _, batch := range checkpoint.Batches {
		if batch.Number <= watermark {
			continue
		}
		if !batch.Closed || batch.End > end {
			break
		}
		for _, line := range batch.Lines {
			if shardOf(line.Workspace) == shard {
				windowTotals.add(line.lineKey, line.counts)
			}
		}
		watermark = batch.Number
	}
	return watermark
}

// Report returns the window in the format of the platform.
func (f *FrozenWindow) Report(fencing ident.FencingToken) external.UsageReport {
	report := external.UsageReport{Window: f.Start.Time(), Shard: Duty(f.Shard), Fencing: fencing}
	report.Lines = make([]external.UsageLine, len(f.Lines))
	for i := range f.Lines {
		report.Lines[i] = f.Lines[i].report()
	}
	return report
}
