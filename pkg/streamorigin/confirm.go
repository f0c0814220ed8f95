package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// confirmTimeout bounds one read of a record.
	confirmTimeout = 300 * time.Millisecond
	// confirmsPerSecond is how many records all hosts together read in a second.
	confirmsPerSecond = 1000
)

// errRecordOutdated means that the store came back from an older copy after the record was
// written.
var errRecordOutdated = errors.New("the record is of an earlier era of the store")

// confirmer reads records of versions from the store for requests that rely on them. A read
// serves all requests that came before it began.
type confirmer struct {
	read func(ctx context.Context, pool ident.Pool) (confirmed, error)
	// pause returns the least time between the beginnings of two reads of a record.
	pause func() time.Duration

	mu    sync.Mutex
	pools map[ident.Pool]*poolReads
}

// confirmed is what the store has of a pool's record.
type confirmed struct {
	// versions are those of the record, or nil if there is none and never was one, as far as
	// this process knows.
	versions []ident.SoftwareVersion
}

// errRecordLost means that there is no record though there was one, or may have been.
var errRecordLost = errors.New("the record is missing from the store")

// poolReads are the reads of one record.
type poolReads struct {
	// next is the read that has not begun yet, or nil.
	next *recordRead
	// running is set while reads are made, and begunAt is when the last one began.
	running bool
	begunAt time.Time
}

// recordRead is one read of a record.
type recordRead struct {
	// done is closed once the other fields are set.
	done chan struct{}
	got  confirmed
	err  error
}

// confirm returns what the store has of a pool's record, read after this call began.
func (c *confirmer) confirm(ctx context.Context, pool ident.Pool) (confirmed, error) {
	read := c.join(pool)
	select {
	case <-read.done:
		return read.got, read.err
	case <-ctx.Done():
		return confirmed{}, ctx.Err()
	}
}

// join returns a read of the record that has not begun yet.
func (c *confirmer) join(pool ident.Pool) *recordRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	reads := c.pools[pool]
	if reads == nil {
		reads = &poolReads{}
		c.pools[pool] = reads
	}
	if reads.next == nil {
		reads.next = &recordRead{done: make(chan struct{})}
	}
	joined := reads.next
	if !reads.running {
		reads.running = true
		go c.run(pool, reads)
	}
	return joined
}

// run makes the reads of one record until no request waits for another one.
func (c *confirmer) run(pool ident.Pool, reads *poolReads) {
	for {
		time.Sleep(time.Until(reads.begunAt.Add(c.pause())))
		reads.begunAt = time.Now()
		read := c.takeNext(reads)
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		read.got, read.err = c.read(ctx, pool)
		cancel()
		close(read.done)
		if !c.goesOn(reads) {
			return
		}
	}
}

// takeNext returns the read that requests wait for, which no other may join.
func (c *confirmer) takeNext(reads *poolReads) *recordRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	read := reads.next
	reads.next = nil
	return read
}

// goesOn reports whether requests wait for another read. If not, the run is over.
func (c *confirmer) goesOn(reads *poolReads) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reads.running = reads.next != nil
	return reads.running
}

// readRecord reads a pool's record. It fails if the record is of an earlier era, or lost.
func (r *Records) readRecord(ctx context.Context, pool ident.Pool) (confirmed, error) {
	entry, err := r.opts.Store.Get(ctx, recordKey(pool))
	if errors.Is(err, external.ErrKeyNotFound) {
		return confirmed{}, r.checkNeverWritten(pool)
	}
	if err != nil {
		return confirmed{}, err
	}
	got, err := decodeRecord(entry.Value)
	if err != nil {
		return confirmed{}, err
	}
	if era, _ := external.EraOf(r.opts.Store); got.Era != era {
		return confirmed{}, errRecordOutdated
	}
	if len(got.Versions) == 0 {
		return confirmed{}, errRecordLost
	}
	return confirmed{versions: got.Versions}, nil
}

// checkNeverWritten returns an error unless no daemon can have written a record of a pool: after
// the first start of a fleet, until one is written.
func (r *Records) checkNeverWritten(pool ident.Pool) error {
	t := r.table
	era, _ := external.EraOf(r.opts.Store)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known.traced || t.known.loadedIn != era || t.known.recordOf(pool).wasRead {
		return errRecordLost
	}
	return nil
}

// confirmPause returns the least time between two reads of a record by this host.
func (r *Records) confirmPause() time.Duration {
	return time.Duration(1+len(r.opts.Hosts())) * time.Second / confirmsPerSecond
}
