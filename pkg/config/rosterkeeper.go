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

// RosterDuty is the duty of keeping the roster. That one process holds it saves
// work; the compare-and-swap and the acceptance of each step keep it right.
const RosterDuty ident.Duty = "control/roster"

// RosterKeeper brings the roster after the platform's list of hosts, one host
// at a time, each step after the one before was accepted.
type RosterKeeper struct {
	Manager    *Manager
	Acceptance *Acceptance
	Hosts      external.HostList
	Log        *slog.Logger
	// Every is the time between looks at the list.
	Every time.Duration
}

// Work keeps the roster while the duty is held. It is a lease.Work.
func (k *RosterKeeper) Work(ctx context.Context, authority lease.Authority) error {
	ticker := time.NewTicker(k.Every)
	defer ticker.Stop()
	for {
		if err := k.Step(ctx, authority); err != nil {
			k.Log.Debug("the roster was not brought up to date", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step makes one change to the roster where one is due.
func (k *RosterKeeper) Step(ctx context.Context, authority lease.Authority) error {
	holds, version, err := k.read(ctx)
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
	return k.write(ctx, holds, version)
}

// read returns the holds as they stand in the store.
func (k *RosterKeeper) read(ctx context.Context) (Holds, external.Version, error) {
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

// write swaps the holds in. A lost answer needs no care: the next step reads
// the store first.
func (k *RosterKeeper) write(ctx context.Context, holds Holds, base external.Version) error {
	value, err := json.Marshal(holds)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the roster was not encoded", "report the defect")
	}
	version, err := k.Manager.opts.Store.CompareAndSwap(ctx, external.Swap{Key: HoldsKey, Base: base, Value: value})
	if err != nil {
		return err
	}
	k.Log.Info("roster written", "revision", version, "hosts", len(holds.Roster.Hosts))
	k.Manager.take(PartHolds, ident.Revision(version), value, fromApply)
	return nil
}
