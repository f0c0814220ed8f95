package streamorigin

import (
	"context"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// lookupTimeout is how long the version of a stream is waited for.
	lookupTimeout = 150 * time.Millisecond
	// unknownRetryAfter is the Retry-After for a stream whose version is not known.
	unknownRetryAfter = 250 * time.Millisecond
)

// VersionOf returns the software version at which the stream that a request began continues.
// It waits up to lookupTimeout for other daemons, and fails if the version is not known.
func (t *Table) VersionOf(ctx context.Context, pool ident.Pool, by, began ident.Request) (ident.SoftwareVersion, error) {
	key := keyOf(began)
	if version := t.inferred(ctx, pool, key); version != nil && *version != ident.UnknownVersion {
		return *version, nil
	}
	version := t.recorded(ctx, pool, key, began)
	if version == nil || *version == ident.UnknownVersion {
		t.lookups.WithLabelValues("unknown").Inc()
		t.logUnknown(pool, by, began)
		return "", errUnknownVersion
	}
	t.lookups.WithLabelValues("known").Inc()
	return *version, nil
}

// inferred returns the version of a stream that nobody has to know, since there is one version
// at which it can have begun, or nil. What the stream's record states goes before.
func (t *Table) inferred(ctx context.Context, pool ident.Pool, key streamKey) *ident.SoftwareVersion {
	only, current := t.onlyNow(pool)
	if only == nil {
		return nil
	}
	if version, _ := t.lookUp(key); version != nil {
		return version
	}
	stored, err := t.confirm(ctx, pool)
	switch {
	case err != nil:
		t.opts.Log.Debug("versions not confirmed by the store", "pool", pool, "error", err)
		return nil
	case stored.versions == nil && current, slices.Equal(stored.versions, []ident.SoftwareVersion{*only}):
		return only
	}
	return nil
}

// confirm returns what the store has of a pool's record now, which is no version for a table
// without records.
func (t *Table) confirm(ctx context.Context, pool ident.Pool) (confirmed, error) {
	if t.confirmer == nil {
		return confirmed{}, nil
	}
	return t.confirmer.confirm(ctx, pool)
}

// onlyNow returns the only version as far as this daemon knows, or nil, and whether its view is
// current.
func (t *Table) onlyNow(pool ident.Pool) (only *ident.SoftwareVersion, current bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noticePause()
	return t.only(pool), !t.behind(t.opts.Now())
}

// recorded returns the version of a stream that this daemon or a linked one has recorded, or nil.
func (t *Table) recorded(ctx context.Context, pool ident.Pool, key streamKey, began ident.Request) *ident.SoftwareVersion {
	version, learned := t.lookUp(key)
	if version != nil || began == "" {
		return version
	}
	if t.opts.Ask != nil {
		t.opts.Ask(pool, appendKey(nil, key))
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for version == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-learned:
		}
		version, learned = t.lookUp(key)
	}
	return version
}

// lookUp returns the version that is recorded for a stream, or nil, and what is closed when more
// becomes known.
func (t *Table) lookUp(key streamKey) (version *ident.SoftwareVersion, learned <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.origins[key]; ok && t.opts.Now().Sub(o.at) <= t.retention() {
		version = &o.version
	}
	return version, t.learned
}

// logUnknown logs that a stream's version is not known, with what kept the pool's versions
// from being relied on.
func (t *Table) logUnknown(pool ident.Pool, by, began ident.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	t.opts.Log.Info("version of a stream unknown", "request", by, "began", began, "pool", pool,
		"versions", len(t.observe(pool).seenAt), "behind", t.behind(now), "recorded", t.complete(pool, now))
}

// errUnknownVersion refuses a stream that might continue at the wrong software version.
var errUnknownVersion = fault.New(fault.Unavailable, "it is not known which software version began the stream",
	"send the request again after the time in Retry-After, or without the events received so far").WithRetryAfter(unknownRetryAfter)
