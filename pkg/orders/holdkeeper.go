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
	scribe    *scribe
	authority lease.Authority

	mu sync.Mutex
	// holds is the newest list that was read or written, at revision.
	holds    config.Holds
	revision external.Version
}

// load reads the holds that stand in the store.
func (k *holdKeeper) load(ctx context.Context) error {
	entry, err := k.scribe.read(ctx, config.HoldsKey)
	if err != nil {
		return err
	}
	var holds config.Holds
	if entry.Version != external.NoVersion {
		if err := json.Unmarshal(entry.Value, &holds); err != nil {
			return err
		}
	}
	k.keep(holds, entry.Version)
	return nil
}

// place holds a target. A hold of an earlier holder is written anew, so that
// what that holder may still be about to write about it fails.
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

// change reads the holds, changes them and swaps them in.
func (k *holdKeeper) change(ctx context.Context, edit func([]config.Hold) []config.Hold) error {
	if err := k.load(ctx); err != nil {
		return err
	}
	holds, base := k.present()
	// Only the targets are this keeper's; the rest stays as it was read.
	edited := holds
	edited.Targets = edit(slices.Clone(holds.Targets))
	value, err := json.Marshal(edited)
	if err != nil {
		return err
	}
	swap := external.Swap{Key: config.HoldsKey, Base: base, Value: value}
	// Equal values mean the same holds, whoever wrote them.
	version, err := k.scribe.write(ctx, k.authority, swap, func(found []byte) bool { return string(found) == string(value) })
	if err != nil {
		return err
	}
	k.keep(edited, version)
	return nil
}

// find returns the duty's hold on a target and the revision that has it.
func (k *holdKeeper) find(name ident.Target) (config.Hold, ident.Revision, bool) {
	holds, revision := k.present()
	for _, hold := range holds.Targets {
		if hold.Target == name && hold.Duty == k.authority.Duty() {
			return hold, ident.Revision(revision), true
		}
	}
	return config.Hold{}, 0, false
}

// own returns the targets that the duty holds.
func (k *holdKeeper) own() []ident.Target {
	holds, _ := k.present()
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

// present returns the newest list and its revision.
func (k *holdKeeper) present() (config.Holds, external.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds, k.revision
}

// keep takes a newer list in.
func (k *holdKeeper) keep(holds config.Holds, revision external.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision >= k.revision {
		k.holds, k.revision = holds, revision
	}
}
