package tally

import (
	"encoding/json"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// CheckpointPrefix is the key prefix of the daemons' checkpoints.
const CheckpointPrefix external.Key = "tally/open/"

// Checkpoint holds the counts of one incarnation of a daemon, as stored.
type Checkpoint struct {
	Host        ident.Host        `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Through is the time, by SteadyWallClock, up to which the counts are complete.
	Through time.Time `json:"through"`
	// Left is set if the daemon has stopped and counts nothing more.
	Left bool `json:"left,omitempty"`
	// Windows holds the counts of the windows that were not closed yet.
	Windows map[Window]Counts `json:"windows"`
}

// key returns the store key of the checkpoint.
func (c *Checkpoint) key() external.Key {
	return CheckpointPrefix + external.Key(string(c.Host)+"/"+incarnationText(c.Incarnation))
}

// DecodeCheckpoint decodes a checkpoint.
func DecodeCheckpoint(value []byte) (Checkpoint, error) {
	var checkpoint Checkpoint
	err := json.Unmarshal(value, &checkpoint)
	return checkpoint, err
}

// encode returns the checkpoint in its stored form.
func encode(checkpoint *Checkpoint) ([]byte, error) { return json.Marshal(checkpoint) }

// Sum adds up a window's counts over all checkpoints.
func Sum(checkpoints []Checkpoint, window Window) Counts {
	sum := make(Counts)
	for i := range checkpoints {
		sum.add(checkpoints[i].Windows[window])
	}
	return sum
}

// AwaitedHosts returns the hosts whose daemons may still write counts of a window that
// ended at the given time. The function ended reports whether an incarnation is
// known to have ended; a checkpoint that it handed to another daemon is written
// within handoverTime.
func AwaitedHosts(checkpoints []Checkpoint, end, now time.Time, ended func(host ident.Host, incarnation ident.Incarnation) bool) []ident.Host {
	var hosts []ident.Host
	for i := range checkpoints {
		checkpoint := &checkpoints[i]
		if checkpoint.Left || !checkpoint.Through.Before(end) || end.Sub(checkpoint.Through) >= abandonAfter {
			continue
		}
		if now.Sub(checkpoint.Through) >= handoverTime && ended(checkpoint.Host, checkpoint.Incarnation) {
			continue
		}
		hosts = append(hosts, checkpoint.Host)
	}
	return hosts
}

const (
	// abandonAfter is the age at which a checkpoint no longer delays a window: if
	// it is this much older than the window's end, its daemon is not waited for.
	abandonAfter = 20 * time.Second
	// handoverTime is how long after the last stored checkpoint of an ended daemon
	// another daemon may still write a newer one that it holds.
	handoverTime = maxWriteInterval + takeOverAfter + flushInterval
)
