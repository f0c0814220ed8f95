package tally

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCheckpointIsWrittenAtOnceAfterRise guards against a window that is closed without
// the counts of a daemon of a large fleet, which writes seldom.
func TestCheckpointIsWrittenAtOnceAfterRise(t *testing.T) {
	withEraFleet(t, nil, func(f *eraFleet) {
		f.size.Store(80)
		time.Sleep(maxWriteInterval + 500*time.Millisecond)
		for range 4 {
			f.goBack()
			since := f.time.Now()
			time.Sleep(3200 * time.Millisecond)
			entry, err := f.store.Get(f.ctx, CheckpointPrefix+"host-2/1")
			must.NoError(t, err)
			checkpoint, err := DecodeCheckpoint(entry.Value)
			must.NoError(t, err)
			must.True(t, checkpoint.Through.After(since))
		}
	})
}
