package config

import (
	"maps"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tailscale/hujson"
)

// resolver applies the exceptions of one document. It caches the result for each
// combination of names that the exceptions distinguish.
type resolver struct {
	defaults *Knobs
	// overrides are ordered from the least specific to the most, so that the
	// more specific ones take precedence when they are applied in order.
	overrides []override
	// referenced holds, by selector field, the names that some exception
	// selects. Other names make no difference and are left out of cache keys.
	referenced [selectorFields]map[string]bool

	// cache is copied on write, so that lookups take no lock.
	cache atomic.Pointer[map[Selector]resolved]
	// mu serializes writers of cache.
	mu sync.Mutex
}

// override is an exception with its knob and parsed value.
type override struct {
	exception *Exception
	knob      *Knob
	value     reflect.Value
}

// resolved is the result for one combination of names.
type resolved struct {
	knobs *Knobs
	// until is when the next of the applied exceptions expires, or zero for
	// never.
	until time.Time
}

// maxResolved bounds the entries of the cache.
const maxResolved = 4096

// newResolver compiles the exceptions of a document. It skips exceptions with an
// unknown knob or an invalid value, which validation rejects.
func newResolver(document *Document) *resolver {
	r := &resolver{defaults: &document.Defaults}
	for i := range r.referenced {
		r.referenced[i] = make(map[string]bool)
	}
	for i := range document.Exceptions {
		exception := &document.Exceptions[i]
		knob := knobTable().byPath[exception.Setting]
		if knob == nil {
			continue
		}
		value, err := knob.parse(hujson.Literal(exception.Value))
		if err != nil {
			continue
		}
		r.overrides = append(r.overrides, override{exception: exception, knob: knob, value: value})
		for field, name := range exception.Selector.fields() {
			r.referenced[field][name] = true
		}
	}
	slices.SortStableFunc(r.overrides, func(a, b override) int {
		return a.exception.Selector.specificity() - b.exception.Selector.specificity()
	})
	r.cache.Store(&map[Selector]resolved{})
	return r
}

// Knobs returns the values in effect now for the names in the selector. The
// result must not be changed.
func (s *Snapshot) Knobs(named Selector) *Knobs { return s.KnobsAt(named, time.Now()) }

// KnobsAt returns the values in effect at the given time for the names in the
// selector. The result must not be changed.
func (s *Snapshot) KnobsAt(named Selector, now time.Time) *Knobs {
	r := s.resolver
	key := r.cacheKey(named)
	if key == (Selector{}) {
		return r.defaults
	}
	if hit, ok := (*r.cache.Load())[key]; ok && hit.validAt(now) {
		return hit.knobs
	}
	fresh := r.resolve(&key, now)
	r.cacheResult(key, fresh)
	return fresh.knobs
}

// validAt reports whether none of the applied exceptions has expired.
func (r resolved) validAt(now time.Time) bool { return r.until.IsZero() || now.Before(r.until) }

// cacheKey returns the selector without the names that no exception selects.
func (r *resolver) cacheKey(named Selector) Selector {
	if !r.referenced[0][string(named.Workspace)] {
		named.Workspace = ""
	}
	if !r.referenced[1][string(named.Route)] {
		named.Route = ""
	}
	if !r.referenced[2][string(named.Model)] {
		named.Model = ""
	}
	if !r.referenced[3][string(named.Service)] {
		named.Service = ""
	}
	if !r.referenced[4][string(named.FailureDomain)] {
		named.FailureDomain = ""
	}
	return named
}

// resolve applies the exceptions that match.
func (r *resolver) resolve(named *Selector, now time.Time) resolved {
	out := resolved{knobs: r.defaults}
	for _, o := range r.overrides {
		if !o.exception.Selector.matches(named) || o.exception.expired(now) {
			continue
		}
		if out.knobs == r.defaults {
			own := *r.defaults
			out.knobs = &own
		}
		o.knob.fieldIn(out.knobs).Set(o.value)
		if expires := o.exception.Expires; !expires.IsZero() && (out.until.IsZero() || expires.Before(out.until)) {
			out.until = expires
		}
	}
	return out
}

// cacheResult adds a result to the cache, which is emptied first if it is full.
func (r *resolver) cacheResult(named Selector, fresh resolved) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[Selector]resolved)
	if present := *r.cache.Load(); len(present) < maxResolved {
		next = maps.Clone(present)
	}
	next[named] = fresh
	r.cache.Store(&next)
}
