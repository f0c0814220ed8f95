package usage

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Head tells how far a shard is. It may be behind the frozen windows, never
// ahead of them.
type Head struct {
	Shard int
	// Reported is the sequence of the last window that the platform took.
	Reported uint64
	// End is the end of that window.
	End Stamp
	// Watermarks are those of that window, from which sources learn what they
	// need to keep no longer.
	Watermarks map[SourceID]uint64
}

// HeadPrefix starts the keys of the heads.
const HeadPrefix external.Key = "usage/head/"

// headKey returns where a shard's head stands in the store.
func headKey(shard int) external.Key { return HeadPrefix + external.Key(fmt.Sprint(shard)) }

// reportedBy returns the last batch of a source that every shard has reported.
// A shard without a head has reported nothing.
func reportedBy(heads []Head, source SourceID) uint64 {
	if len(heads) < Shards {
		return 0
	}
	least := heads[0].Watermarks[source]
	for _, head := range heads[1:] {
		least = min(least, head.Watermarks[source])
	}
	return least
}
