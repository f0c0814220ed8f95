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

// resolver applies the exceptions of one document. It keeps the outcome for
// each set of names that the exceptions tell apart.
type resolver struct {
	defaults *Knobs
	// overrides stand from the least specific to the most, so that applying
	// them in turn lets the more specific win.
	overrides []override
	// mentioned holds, by field of the selector, the names that some exception
	// bears. Other names make no difference and are left out of the cache.
	mentioned [selectorFields]map[string]bool

	// cache is replaced whole, never changed, so that lookups take no lock.
	cache atomic.Pointer[map[Selector]resolved]
	// mu guards the replacing of the cache.
	mu sync.Mutex
}

// override is one exception in the form that is applied.
type override struct {
	exception *Exception
	knob      *Knob
	value     reflect.Value
}

// resolved is the outcome for one set of names.
type resolved struct {
	knobs *Knobs
	// until is when the next exception expires, or zero for never.
	until time.Time
}

// maxResolved bounds the cache of outcomes.
const maxResolved = 4096

// newResolver compiles the exceptions of a document that was checked.
func newResolver(document *Document) *resolver {
	r := &resolver{defaults: &document.Defaults}
	for i := range r.mentioned {
		r.mentioned[i] = make(map[string]bool)
	}
	for i := range document.Exceptions {
		exception := &document.Exceptions[i]
		knob := knobTable().byPath[exception.Setting]
		if knob == nil {
			continue
		}
		value, err := knob.read(hujson.Literal(exception.Value))
		if err != nil {
			continue
		}
		r.overrides = append(r.overrides, override{exception: exception, knob: knob, value: value})
		for field, name := range exception.Selector.fields() {
			r.mentioned[field][name] = true
		}
	}
	slices.SortStableFunc(r.overrides, func(a, b override) int {
		return a.exception.Selector.specificity() - b.exception.Selector.specificity()
	})
	r.cache.Store(&map[Selector]resolved{})
	return r
}

// Knobs returns the values in force now for what the selector names.
func (s *Snapshot) Knobs(named Selector) *Knobs { return s.KnobsAt(named, time.Now()) }

// KnobsAt returns the values in force at the given time for what the selector
// names. The result must not be changed.
func (s *Snapshot) KnobsAt(named Selector, now time.Time) *Knobs {
	r := s.resolver
	known := r.project(named)
	if known == (Selector{}) {
		return r.defaults
	}
	if hit, ok := (*r.cache.Load())[known]; ok && hit.holdsAt(now) {
		return hit.knobs
	}
	fresh := r.resolve(&known, now)
	r.keep(known, fresh)
	return fresh.knobs
}

// holdsAt reports whether no exception has expired since.
func (r resolved) holdsAt(now time.Time) bool { return r.until.IsZero() || now.Before(r.until) }

// project drops the names that no exception bears.
func (r *resolver) project(named Selector) Selector {
	if !r.mentioned[0][string(named.Workspace)] {
		named.Workspace = ""
	}
	if !r.mentioned[1][string(named.Route)] {
		named.Route = ""
	}
	if !r.mentioned[2][string(named.Model)] {
		named.Model = ""
	}
	if !r.mentioned[3][string(named.Service)] {
		named.Service = ""
	}
	if !r.mentioned[4][string(named.FailureDomain)] {
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
		o.knob.in(out.knobs).Set(o.value)
		if expires := o.exception.Expires; !expires.IsZero() && (out.until.IsZero() || expires.Before(out.until)) {
			out.until = expires
		}
	}
	return out
}

// keep puts an outcome into the cache, which starts anew when it is full.
func (r *resolver) keep(named Selector, fresh resolved) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[Selector]resolved)
	if present := *r.cache.Load(); len(present) < maxResolved {
		next = maps.Clone(present)
	}
	next[named] = fresh
	r.cache.Store(&next)
}
