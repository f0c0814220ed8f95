package usage

import (
	"fmt"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Frozen is one closed window of one shard. It is written once and never
// changes; each builds on the one before.
type Frozen struct {
	Shard int
	// Sequence numbers the shard's windows from one.
	Sequence uint64
	Start    Stamp
	End      Stamp
	// Watermarks hold, for each source that still has a checkpoint, the number
	// of the last batch that this window or an earlier one includes.
	Watermarks map[SourceID]uint64
	Lines      []Line
}

// FrozenPrefix starts the keys of the frozen windows.
const FrozenPrefix external.Key = "usage/frozen/"

// frozenKey returns where a window stands in the store.
func frozenKey(shard int, sequence uint64) external.Key {
	return FrozenPrefix + external.Key(fmt.Sprintf("%d/%012d", shard, sequence))
}

// Duty returns the duty of reporting one shard.
func Duty(shard int) ident.Duty { return ident.Duty(fmt.Sprintf("usage/%d", shard)) }

// NextWindow returns the bounds of the window that follows the previous one, or
// of the newest that has ended where there is none. A change of the length
// takes effect from the next window on: windows follow each other without a
// gap and never overlap.
func NextWindow(previous *Frozen, now Stamp, length, grace time.Duration) (start, end Stamp, due bool) {
	if previous == nil {
		start = now.add(-grace).add(-length).align(length)
		return start, start.add(length), true
	}
	start = previous.End
	end = start.align(length).add(length)
	return start, end, now >= end.add(grace)
}

// Freeze returns the shard's next window. It includes, of every source, the
// closed batches that end with the window or before and that no earlier window
// includes. Figures that come too late are so included in a later window, with
// their own time. The checkpoints must have been read after the previous
// window.
func Freeze(previous *Frozen, checkpoints []Checkpoint, shard int, start, end Stamp) Frozen {
	frozen := Frozen{Shard: shard, Sequence: 1, Start: start, End: end, Watermarks: make(map[SourceID]uint64)}
	var marks map[SourceID]uint64
	if previous != nil {
		frozen.Sequence = previous.Sequence + 1
		marks = previous.Watermarks
	}
	total := make(sums)
	for i := range checkpoints {
		source := checkpoints[i].Source
		mark := gather(total, &checkpoints[i], marks[source], shard, end)
		if mark > 0 {
			frozen.Watermarks[source] = mark
		}
	}
	frozen.Lines = total.lines()
	return frozen
}

// gather adds a source's due batches after the mark and returns the new mark.
// It stops at the first batch that is not due, so that a mark says it all.
func gather(total sums, checkpoint *Checkpoint, mark uint64, shard int, end Stamp) uint64 {
	for _, batch := range checkpoint.Batches {
		if batch.Number <= mark {
			continue
		}
		if !batch.Closed || batch.End > end {
			break
		}
		for _, line := range batch.Lines {
			if shardOf(line.Workspace) == shard {
				total.add(line.subject, line.figures)
			}
		}
		mark = batch.Number
	}
	return mark
}

// Report returns the window as the platform takes it.
func (f *Frozen) Report(fencing ident.Fencing) external.UsageReport {
	report := external.UsageReport{Window: f.Start.Time(), Shard: Duty(f.Shard), Fencing: fencing}
	report.Lines = make([]external.UsageLine, len(f.Lines))
	for i := range f.Lines {
		report.Lines[i] = f.Lines[i].report()
	}
	return report
}
