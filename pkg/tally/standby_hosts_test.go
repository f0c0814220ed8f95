package tally

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// TestHostsOfStoredCheckpointsAreCounted guards against a process that starts and counts
// a part of the fleet only: hosts with a checkpoint count whether or not they can be
// seen, and each once.
func TestHostsOfStoredCheckpointsAreCounted(t *testing.T) {
	standby := NewStandbyWriter(nil, slog.New(slog.DiscardHandler))
	memory := NewCheckpointMemory(standby, slog.New(slog.DiscardHandler))
	entry := func(host string, incarnation int, deleted bool) external.Entry {
		checkpoint := Checkpoint{Host: "x"}
		value, err := encode(&checkpoint)
		must.NoError(t, err)
		return external.Entry{Key: CheckpointPrefix + external.Key(host+"/"+string(rune('a'+incarnation))), Value: value, Version: 1, Deleted: deleted}
	}
	must.Zero(t, standby.Hosts())
	memory.Apply([]external.Entry{entry("a", 0, false), entry("a", 1, false), entry("b", 0, false)}, true, time.Now())
	must.Eq(t, 2, standby.Hosts())
	memory.Apply([]external.Entry{entry("c", 0, false)}, false, time.Now())
	must.Eq(t, 3, standby.Hosts())
	memory.Apply([]external.Entry{entry("b", 0, true), entry("a", 0, true)}, false, time.Now())
	must.Eq(t, 2, standby.Hosts())
	memory.Apply(nil, true, time.Now())
	must.Zero(t, standby.Hosts())
}
