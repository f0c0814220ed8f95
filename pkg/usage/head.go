package usage

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Head identifies a shard's last reported window. It may lag behind the frozen
// windows but is never ahead of them.
type Head struct {
	Shard int
	// Reported is the sequence of the last window that the platform accepted.
	Reported uint64
	// End is the end of that window.
	End Timestamp
	// Watermarks are those of that window. Sources drop the batches up to the
	// watermark that all shards have reported.
	Watermarks map[SourceID]uint64
}

// HeadPrefix is the key prefix of the heads in the store.
const HeadPrefix external.Key = "usage/head/"

// headKey returns the store key of a shard's head.
func headKey(shard int) external.Key { return HeadPrefix + external.Key(fmt.Sprint(shard)) }

// reportedByAllShards returns the number of a source's last batch that every
// shard has reported, or zero while any shard has no head.
func reportedByAllShards(heads []Head, source SourceID) uint64 {
	if len(heads) < Shards {
		return 0
	}
	least := heads[0].Watermarks[source]
	for _, head := range heads[1:] {
		least = min(least, head.Watermarks[source])
	}
	return least
}
