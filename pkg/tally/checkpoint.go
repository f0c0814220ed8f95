package tally

import (
	"encoding/json"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// OpenPrefix starts the keys of the daemons' checkpoints.
const OpenPrefix external.Key = "tally/open/"

// Checkpoint is what one life of a daemon has counted, as it stands in the
// store.
type Checkpoint struct {
	Host        ident.Host        `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Through is the true time up to which the counts are complete.
	Through time.Time `json:"through"`
	// Left says that the daemon has stopped and counts nothing more.
	Left bool `json:"left,omitempty"`
	// Windows are the counts of the windows that were not closed yet.
	Windows map[Window]Counts `json:"windows"`
}

// key returns where the checkpoint stands.
func (c *Checkpoint) key() external.Key {
	return OpenPrefix + external.Key(string(c.Host)+"/"+incarnationText(c.Incarnation))
}

// DecodeCheckpoint reads a checkpoint.
func DecodeCheckpoint(value []byte) (Checkpoint, error) {
	var checkpoint Checkpoint
	err := json.Unmarshal(value, &checkpoint)
	return checkpoint, err
}

// encode returns the checkpoint as the store keeps it.
func encode(checkpoint *Checkpoint) ([]byte, error) { return json.Marshal(checkpoint) }

// Sum adds up a window's counts over all checkpoints.
func Sum(checkpoints []Checkpoint, window Window) Counts {
	sum := make(Counts)
	for i := range checkpoints {
		sum.add(checkpoints[i].Windows[window])
	}
	return sum
}

// Awaited returns the hosts whose daemons may yet tell more of a window that
// ended at the given time. Ended says of a life that it is known to be over; what
// it left with another daemon is written within handOverTime.
func Awaited(checkpoints []Checkpoint, end, now time.Time, ended func(host ident.Host, life ident.Incarnation) bool) []ident.Host {
	var hosts []ident.Host
	for i := range checkpoints {
		checkpoint := &checkpoints[i]
		if checkpoint.Left || !checkpoint.Through.Before(end) || end.Sub(checkpoint.Through) >= forgetAfter {
			continue
		}
		if now.Sub(checkpoint.Through) >= handOverTime && ended(checkpoint.Host, checkpoint.Incarnation) {
			continue
		}
		hosts = append(hosts, checkpoint.Host)
	}
	return hosts
}

const (
	// forgetAfter is how long a daemon that writes no checkpoint is waited for.
	forgetAfter = 20 * time.Second
	// handOverTime is how long after its last checkpoint a daemon that ended may
	// still have another one write what it left there.
	handOverTime = longestUnwritten + silentAfter + courierEvery
)
