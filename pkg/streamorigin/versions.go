package streamorigin

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// poolVersions holds the software versions of one pool's targets.
type poolVersions struct {
	// seenAt is when each version was last in the view, or became known otherwise.
	seenAt map[ident.SoftwareVersion]time.Time
	// mixedSince is when a second version was first seen beside another one, or zero while
	// there is one version.
	mixedSince time.Time
	// inView are the versions of the targets in the view, which was read from a snapshot.
	inView   map[ident.SoftwareVersion]bool
	snapshot *fleet.Snapshot
}

// newPoolVersions returns the versions of a pool without any.
func newPoolVersions() *poolVersions {
	return &poolVersions{seenAt: make(map[ident.SoftwareVersion]time.Time)}
}

// see records that a version may have begun streams until now.
func (v *poolVersions) see(version ident.SoftwareVersion, now time.Time) { v.seenAt[version] = now }

// only returns the one version there is, or nil.
func (v *poolVersions) only() *ident.SoftwareVersion {
	if len(v.seenAt) != 1 {
		return nil
	}
	for version := range v.seenAt {
		return &version
	}
	return nil
}

// observe records the versions in the view. It reports whether a second one has come.
// Versions that were last seen longer than retention ago are forgotten. It is longer than that
// of streams: a stream that is no longer known must not be taken for one of the version left.
func (v *poolVersions) observe(snapshot *fleet.Snapshot, pool ident.Pool, now time.Time, retention time.Duration) (mixed bool) {
	v.read(snapshot, pool)
	for version := range v.inView {
		v.seenAt[version] = now
	}
	for version, at := range v.seenAt {
		if now.Sub(at) > retention {
			delete(v.seenAt, version)
		}
	}
	switch {
	case len(v.seenAt) <= 1:
		v.mixedSince = time.Time{}
	case v.mixedSince.IsZero():
		v.mixedSince = now
		return true
	}
	return false
}

// read takes over the versions of a pool's targets in a view.
func (v *poolVersions) read(snapshot *fleet.Snapshot, pool ident.Pool) {
	if v.snapshot == snapshot {
		return
	}
	v.snapshot, v.inView = snapshot, make(map[ident.SoftwareVersion]bool)
	for _, i := range snapshot.Pool(pool) {
		v.inView[snapshot.Targets[i].Record.SoftwareVersion] = true
	}
}
