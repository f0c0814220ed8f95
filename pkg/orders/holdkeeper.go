package orders

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// holdKeeper places and releases the holds of one duty.
type holdKeeper struct {
	writer    *entryWriter
	authority lease.Authority

	mu sync.Mutex
	// holds is the newest list that was read or written; revision is its version.
	holds    config.Holds
	revision external.Version
}

// load reads the holds from the store.
func (k *holdKeeper) load(ctx context.Context) error {
	entry, err := k.writer.read(ctx, config.HoldsKey)
	if err != nil {
		return err
	}
	var holds config.Holds
	if entry.Version != external.NoVersion {
		if err := json.Unmarshal(entry.Value, &holds); err != nil {
			return err
		}
	}
	k.update(holds, entry.Version)
	return nil
}

// place places a hold on a target. A hold of an earlier holder is replaced, so
// that a delayed write of that holder fails with a conflict.
func (k *holdKeeper) place(ctx context.Context, name ident.Target, reason string) error {
	return k.change(ctx, func(list []config.Hold) []config.Hold {
		hold := config.Hold{Target: name, Duty: k.authority.Duty(), Fencing: k.authority.Fencing(), Reason: reason}
		return append(k.without(list, name), hold)
	})
}

// release ends the hold on a target.
func (k *holdKeeper) release(ctx context.Context, name ident.Target) error {
	return k.change(ctx, func(list []config.Hold) []config.Hold { return k.without(list, name) })
}

// change reads the holds, edits them and writes them by compare-and-swap.
func (k *holdKeeper) change(ctx context.Context, edit func([]config.Hold) []config.Hold) error {
	if err := k.load(ctx); err != nil {
		return err
	}
	holds, base := k.current()
	// Only the list of targets is edited; the other fields stay as read.
	edited := holds
	edited.Targets = edit(slices.Clone(holds.Targets))
	value, err := json.Marshal(edited)
	if err != nil {
		return err
	}
	swap := external.Swap{Key: config.HoldsKey, Base: base, Value: value}
	// An equal value has the same holds, whichever process wrote it.
	version, err := k.writer.write(ctx, k.authority, swap, func(found []byte) bool { return string(found) == string(value) })
	if err != nil {
		return err
	}
	k.update(edited, version)
	return nil
}

// find returns the duty's hold on a target and the revision of the list.
func (k *holdKeeper) find(name ident.Target) (config.Hold, ident.Revision, bool) {
	holds, revision := k.current()
	for _, hold := range holds.Targets {
		if hold.Target == name && hold.Duty == k.authority.Duty() {
			return hold, ident.Revision(revision), true
		}
	}
	return config.Hold{}, 0, false
}

// ownTargets returns the targets on which the duty has a hold.
func (k *holdKeeper) ownTargets() []ident.Target {
	holds, _ := k.current()
	var names []ident.Target
	for _, hold := range holds.Targets {
		if hold.Duty == k.authority.Duty() {
			names = append(names, hold.Target)
		}
	}
	return names
}

// without returns the list without the duty's hold on a target.
func (k *holdKeeper) without(list []config.Hold, name ident.Target) []config.Hold {
	return slices.DeleteFunc(list, func(hold config.Hold) bool {
		return hold.Target == name && hold.Duty == k.authority.Duty()
	})
}

// current returns the newest list and its revision.
func (k *holdKeeper) current() (config.Holds, external.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds, k.revision
}

// update stores a list unless a newer one is known.
func (k *holdKeeper) update(holds config.Holds, revision external.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision >= k.revision {
		k.holds, k.revision = holds, revision
	}
}
