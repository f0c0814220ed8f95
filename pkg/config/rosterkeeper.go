package config

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// RosterDuty is the duty of maintaining the roster. Its lease only avoids
// duplicate work: correctness rests on the compare-and-swap and on the acceptance
// of each step.
const RosterDuty ident.Duty = "control/roster"

// RosterKeeper updates the roster to follow the platform's list of hosts, one host
// at a time. Each step waits until the previous one is accepted.
type RosterKeeper struct {
	Manager    *Manager
	Acceptance *Acceptance
	Hosts      external.HostList
	Log        *slog.Logger
	// StepInterval is the interval between steps.
	StepInterval time.Duration
}

// Work maintains the roster while the duty is held. It is a lease.Work.
func (k *RosterKeeper) Work(ctx context.Context, authority lease.Authority) error {
	ticker := time.NewTicker(k.StepInterval)
	defer ticker.Stop()
	for {
		if err := k.Step(ctx, authority); err != nil {
			k.Log.Debug("roster update failed", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step makes one change to the roster if one is due and the previous one is
// accepted.
func (k *RosterKeeper) Step(ctx context.Context, authority lease.Authority) error {
	holds, version, err := k.readHolds(ctx)
	if err != nil {
		return err
	}
	if version != external.NoVersion {
		accepted, err := k.Acceptance.accepted(ctx, PartHolds, ident.Revision(version))
		if err != nil || !accepted {
			return err
		}
	}
	listed, err := k.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	members := k.Manager.selfAndPeers()
	next, changed := NextRoster(holds.Roster, listed, members)
	if !changed {
		return nil
	}
	if err := authority.Check(); err != nil {
		return err
	}
	holds.Roster = next
	return k.writeHolds(ctx, holds, version)
}

// readHolds reads the holds from the store.
func (k *RosterKeeper) readHolds(ctx context.Context) (Holds, external.Version, error) {
	entry, err := k.Manager.opts.Store.Get(ctx, HoldsKey)
	if errors.Is(err, external.ErrKeyNotFound) {
		return Holds{}, external.NoVersion, nil
	}
	if err != nil {
		return Holds{}, 0, err
	}
	holds, err := ParseHolds(entry.Value)
	return holds, entry.Version, err
}

// writeHolds replaces the holds in the store. A lost response needs no handling,
// since the next step reads the store first.
func (k *RosterKeeper) writeHolds(ctx context.Context, holds Holds, base external.Version) error {
	value, err := json.Marshal(holds)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the roster can't be encoded", "report this as a bug")
	}
	version, err := k.Manager.opts.Store.CompareAndSwap(ctx, external.Swap{Key: HoldsKey, Base: base, Value: value})
	if err != nil {
		return err
	}
	k.Log.Info("roster written", "revision", version, "hosts", len(holds.Roster.Hosts))
	k.Manager.loadIfNewer(PartHolds, ident.Revision(version), value, sourceApply)
	return nil
}
