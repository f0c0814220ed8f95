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

// Applier writes operators' changes to the store and waits until they are
// accepted.
type Applier struct {
	Manager    *Manager
	Acceptance *Acceptance
	// PollInterval is the interval between checks for acceptance.
	PollInterval time.Duration
	// Timeout bounds the wait for acceptance.
	Timeout time.Duration
}

// ApplyResult describes a change that was accepted.
type ApplyResult struct {
	Revision ident.Revision `json:"revision"`
	// Waited is how long the acceptance took after the change was written.
	Waited Duration `json:"waited"`
}

// Apply validates the text and replaces the base revision with it; base zero
// writes the first revision. It returns once a majority of the hosts has loaded
// the change. It fails with kind Invalid if the text is not valid, Conflict if
// another change was written first, Unavailable if nothing was written, and
// Unknown if the change may have been written or may be accepted later.
func (a *Applier) Apply(ctx context.Context, base ident.Revision, text []byte) (ApplyResult, error) {
	if _, err := Check(text, time.Now()); err != nil {
		return ApplyResult{}, err
	}
	revision, err := a.swap(ctx, base, text)
	if err != nil {
		return ApplyResult{}, err
	}
	written := a.Manager.opts.Clock.Now()
	a.Manager.loadIfNewer(PartConfig, revision, text, sourceApply)
	if err := a.awaitAcceptance(ctx, revision); err != nil {
		return ApplyResult{}, err
	}
	return ApplyResult{Revision: revision, Waited: Duration(a.Manager.opts.Clock.Now() - written)}, nil
}

// maxSwapAttempts bounds the attempts of one swap, and swapRetryDelay is the delay
// between them.
const (
	maxSwapAttempts = 5
	swapRetryDelay  = 200 * time.Millisecond
)

// swap replaces the base revision with the text. After a lost response it reads
// the key back and, if the base revision is still current, retries. The
// compare-and-swap on the base lets at most one attempt take effect, even if an
// earlier one arrives late.
func (a *Applier) swap(ctx context.Context, base ident.Revision, text []byte) (ident.Revision, error) {
	store := a.Manager.opts.Store
	lost := false
	for range maxSwapAttempts {
		version, err := store.CompareAndSwap(ctx, external.Swap{Key: StoreKey, Base: external.Version(base), Value: text})
		kind := fault.KindOf(err)
		switch {
		case err == nil:
			return ident.Revision(version), nil
		case kind == fault.Conflict && !lost:
			return 0, a.conflictError(ctx, base)
		case kind != fault.Conflict && kind != fault.Unknown && !lost:
			return 0, err
		}
		lost = true
		entry, err := store.Get(ctx, StoreKey)
		if err == nil && ident.Revision(entry.Version) > base {
			return resolveReadBack(base, ident.Revision(entry.Version), bytes.Equal(entry.Value, text))
		}
		sleep(ctx, swapRetryDelay)
	}
	return 0, unknownOutcome("the store does not show the change")
}

// conflictError returns a Conflict error that names the store's current revision.
func (a *Applier) conflictError(ctx context.Context, base ident.Revision) error {
	stored := "a later one"
	entry, err := a.Manager.opts.Store.Get(ctx, StoreKey)
	switch {
	case err == nil:
		stored = fmt.Sprintf("revision %d", entry.Version)
	case errors.Is(err, external.ErrKeyNotFound):
		stored = "no revision"
	}
	reason := fmt.Sprintf("the file was edited from revision %d, but the store holds %s", base, stored)
	return fault.New(fault.Conflict, reason, "merge the changes into the text that amaranthctl show prints, and apply it with its revision as -base")
}

// resolveReadBack decides the outcome of a swap whose response was lost from the
// newer revision that was read back. Only revision base+1 with another text
// proves a conflict: at a later revision the swap may have been written and then
// replaced.
func resolveReadBack(base, found ident.Revision, same bool) (ident.Revision, error) {
	switch {
	case same:
		return found, nil
	case found == base+1:
		reason := fmt.Sprintf("another operator's revision %d was written first", found)
		return 0, fault.New(fault.Conflict, reason, "merge the changes into the text that amaranthctl show prints, and apply it with its revision as -base")
	default:
		return 0, unknownOutcome(fmt.Sprintf("the store already holds revision %d", found))
	}
}

// unknownOutcome returns the error for a change that may have been written.
func unknownOutcome(why string) error {
	return fault.New(fault.Unknown, "the store's response was lost and "+why, "run amaranthctl diff before applying again")
}

// awaitAcceptance waits until the revision is accepted.
func (a *Applier) awaitAcceptance(ctx context.Context, revision ident.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	for ctx.Err() == nil {
		accepted, err := a.Acceptance.accepted(ctx, PartConfig, revision)
		if err == nil && accepted {
			return nil
		}
		sleep(ctx, a.PollInterval)
	}
	reason := fmt.Sprintf("revision %d is written, but a majority of the hosts has not loaded it yet", revision)
	return fault.New(fault.Unknown, reason, "run amaranthctl status; hosts load the revision as they reach the store or each other")
}
