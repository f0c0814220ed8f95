package config

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Applier puts operators' changes into the store and waits for their
// acceptance.
type Applier struct {
	Manager    *Manager
	Acceptance *Acceptance
	// Poll is the time between looks at the acceptance.
	Poll time.Duration
	// Timeout bounds the wait for the acceptance.
	Timeout time.Duration
}

// Applied is a change that was accepted.
type Applied struct {
	Revision ident.Revision `json:"revision"`
	// Waited is how long the acceptance took after the change was written.
	Waited Duration `json:"waited"`
}

// Apply checks the text and puts it in the place of the base revision; zero
// writes the first. It returns once a majority of the hosts has loaded it. It
// fails with kind Invalid where the text is wrong, Conflict where another
// change came first, Unavailable where nothing was changed, and Unknown where
// the change may stand or become accepted later.
func (a *Applier) Apply(ctx context.Context, base ident.Revision, text []byte) (Applied, error) {
	if _, err := Check(text, time.Now()); err != nil {
		return Applied{}, err
	}
	revision, err := a.swap(ctx, base, text)
	if err != nil {
		return Applied{}, err
	}
	written := a.Manager.opts.Clock.Now()
	a.Manager.take(PartConfig, revision, text, fromApply)
	if err := a.await(ctx, revision); err != nil {
		return Applied{}, err
	}
	return Applied{Revision: revision, Waited: Duration(a.Manager.opts.Clock.Now() - written)}, nil
}

// swapTries bounds the attempts of one swap, swapPause is the time between
// them.
const (
	swapTries = 5
	swapPause = 200 * time.Millisecond
)

// swap writes the text over the base revision. A lost answer is read back; where
// the base still stands the swap is sent again, and the base lets no more than
// one of the two take effect, also where the first was only late.
func (a *Applier) swap(ctx context.Context, base ident.Revision, text []byte) (ident.Revision, error) {
	store := a.Manager.opts.Store
	lost := false
	for range swapTries {
		version, err := store.CompareAndSwap(ctx, external.Swap{Key: StoreKey, Base: external.Version(base), Value: text})
		kind := fault.KindOf(err)
		switch {
		case err == nil:
			return ident.Revision(version), nil
		case kind == fault.Conflict && !lost:
			return 0, a.conflict(ctx, base)
		case kind != fault.Conflict && kind != fault.Unknown && !lost:
			return 0, err
		}
		lost = true
		entry, err := store.Get(ctx, StoreKey)
		if err == nil && ident.Revision(entry.Version) > base {
			return judgeReadBack(base, ident.Revision(entry.Version), bytes.Equal(entry.Value, text))
		}
		sleep(ctx, swapPause)
	}
	return 0, unknownApply("the store does not show the change")
}

// conflict names the revision that came first.
func (a *Applier) conflict(ctx context.Context, base ident.Revision) error {
	winner := "a later one"
	entry, err := a.Manager.opts.Store.Get(ctx, StoreKey)
	switch {
	case err == nil:
		winner = fmt.Sprintf("revision %d", entry.Version)
	case errors.Is(err, external.ErrKeyNotFound):
		winner = "no revision"
	}
	reason := fmt.Sprintf("the file was edited from revision %d, but the store holds %s", base, winner)
	return fault.New(fault.Conflict, reason, "see amaranthctl diff, edit the newest revision and apply again")
}

// judgeReadBack says what a newer revision that was read after a lost answer
// shows.
func judgeReadBack(base, found ident.Revision, same bool) (ident.Revision, error) {
	switch {
	case same:
		return found, nil
	case found == base+1:
		reason := fmt.Sprintf("revision %d of another operator came first", found)
		return 0, fault.New(fault.Conflict, reason, "see amaranthctl diff, edit the newest revision and apply again")
	default:
		return 0, unknownApply(fmt.Sprintf("the store already holds revision %d", found))
	}
}

// unknownApply is the error of a change that may stand.
func unknownApply(why string) error {
	return fault.New(fault.Unknown, "the answer of the store was lost and "+why, "see amaranthctl diff before applying again")
}

// await waits until the revision is accepted.
func (a *Applier) await(ctx context.Context, revision ident.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	for ctx.Err() == nil {
		accepted, err := a.Acceptance.accepted(ctx, PartConfig, revision)
		if err == nil && accepted {
			return nil
		}
		sleep(ctx, a.Poll)
	}
	reason := fmt.Sprintf("revision %d is written, but a majority of the hosts has not loaded it yet", revision)
	return fault.New(fault.Unknown, reason, "see amaranthctl status; it comes into force by itself as hosts reach the store or each other")
}
