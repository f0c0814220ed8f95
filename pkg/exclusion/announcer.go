package exclusion

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

const (
	// KeyPrefix is the key prefix of the announcements. Each host has its own key,
	// so that none overwrites another host's announcement before all daemons have
	// read it.
	KeyPrefix external.Key = "engines/away/"
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// announcementTTL is how long an announcement stays in the store for daemons
	// that can't read it immediately. Daemons that start later ignore it.
	announcementTTL = 30 * time.Second
)

// Options configure an Announcer.
type Options struct {
	// Host is the host that the announcements are made for.
	Host  ident.Host
	Store external.Store
	// OnAnnouncement is called with each new announcement. The durations count from
	// the call.
	OnAnnouncement func(exclusions []backlog.Exclusion)
	Log            *slog.Logger
}

// Announcer makes the host's announcements, and receives those of all hosts as a
// mirror.Listener.
type Announcer struct {
	opts Options

	mu sync.Mutex
	// versions holds the last known version of each announcement in the store.
	// loaded is set once the store was read whole.
	versions map[external.Key]external.Version
	loaded   bool
	// era is the highest era of an announcement.
	era external.Era
	// values holds the last values of each announcement, newest last.
	values map[external.Key][]string
}

var _ mirror.Listener = (*Announcer)(nil)

// New returns an announcer that has not read the store yet.
func New(opts Options) *Announcer {
	return &Announcer{opts: opts, versions: make(map[external.Key]external.Version), values: make(map[external.Key][]string)}
}

// Follows reports whether a key holds an announcement.
func (a *Announcer) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(KeyPrefix))
}

// Outage does nothing, since each announcement has a limited duration.
func (a *Announcer) Outage(_, _ time.Time) {}

// Apply passes on new announcements. Those found when the store is first read may
// be old and are ignored, as are those that are read again.
func (a *Announcer) Apply(entries []external.Entry, whole bool, _ time.Time) {
	for _, entry := range a.recordVersions(entries, whole) {
		a.deliver(&entry)
	}
}

// recordVersions records the versions of announcements. It returns the ones that
// are new, once the store was read whole.
func (a *Announcer) recordVersions(entries []external.Entry, whole bool) []external.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous := a.versions
	if whole {
		a.versions = make(map[external.Key]external.Version, len(entries))
	}
	var changed []external.Entry
	for i := range entries {
		entry := &entries[i]
		if entry.Deleted {
			delete(a.versions, entry.Key)
			continue
		}
		if a.loaded && entry.Version > previous[entry.Key] && (!whole || !a.returned(entry)) {
			changed = append(changed, *entry)
		}
		a.versions[entry.Key] = entry.Version
		a.remember(entry)
	}
	for i := range entries {
		a.era = max(a.era, entries[i].Version.Era())
	}
	a.loaded = a.loaded || whole
	return changed
}

// keptValues is how many values of each announcement are remembered. More are not made
// within the age of the copies that the store comes back from.
const keptValues = 16

// returned reports whether an entry was known before and is there again because the store
// has come back from an older copy. Its version is higher then, since the era is.
func (a *Announcer) returned(entry *external.Entry) bool {
	return entry.Version.Era() > a.era && slices.Contains(a.values[entry.Key], string(entry.Value))
}

// remember records the value of an announcement. The caller holds a.mu.
func (a *Announcer) remember(entry *external.Entry) {
	values := append(a.values[entry.Key], string(entry.Value))
	a.values[entry.Key] = values[max(0, len(values)-keptValues):]
}

// deliver decodes an announcement and passes it to OnAnnouncement.
func (a *Announcer) deliver(entry *external.Entry) {
	var exclusions []backlog.Exclusion
	if err := json.Unmarshal(entry.Value, &exclusions); err != nil {
		a.opts.Log.Error("announcement of unavailable targets unreadable", "key", entry.Key, "version", entry.Version, "error", err)
		return
	}
	a.opts.Log.Info("engines away", "engines", len(exclusions), "key", entry.Key, "version", entry.Version)
	a.opts.OnAnnouncement(exclusions)
}

// Announce replaces the host's announcement. It returns the error of the store if
// the write was not confirmed.
func (a *Announcer) Announce(ctx context.Context, exclusions []backlog.Exclusion) error {
	value, err := json.Marshal(exclusions)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := a.opts.Store.Grant(ctx, announcementTTL)
	if err != nil {
		return err
	}
	key := KeyPrefix + external.Key(a.opts.Host)
	swap := external.Swap{Key: key, Value: value, Lease: lease, Base: a.knownVersion(key)}
	_, err = a.opts.Store.CompareAndSwap(ctx, swap)
	if !errors.Is(err, external.ErrVersionConflict) {
		return err
	}
	entry, err := a.opts.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	swap.Base = entry.Version
	_, err = a.opts.Store.CompareAndSwap(ctx, swap)
	return err
}

// knownVersion returns the last known version of an announcement.
func (a *Announcer) knownVersion(key external.Key) external.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions[key]
}
