package lease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/lease"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

func TestDecide(t *testing.T) {
	self := lease.Writer{Host: "a", Incarnation: 2}
	cases := []struct {
		name string
		seen lease.Observation
		want lease.Action
	}{
		{"not ready", lease.Observation{Rank: 0}, lease.ActionIgnore},
		{"not ranked", lease.Observation{Ready: true, Rank: duty.NotRanked}, lease.ActionIgnore},
		{"rank not below MaxCandidates", lease.Observation{Ready: true, Rank: 3}, lease.ActionIgnore},
		{"held by another", lease.Observation{Ready: true, Present: true, Lease: 4, OwnLease: 5, Holder: lease.Writer{Host: "b", Incarnation: 2}, Self: self}, lease.ActionWait},
		{"held by an earlier incarnation", lease.Observation{Ready: true, Present: true, Lease: 4, OwnLease: 5, Holder: lease.Writer{Host: "a", Incarnation: 1}, Self: self}, lease.ActionWait},
		{"own write whose response was lost", lease.Observation{Ready: true, Present: true, Lease: 5, OwnLease: 5, Holder: self, Self: self}, lease.ActionAdopt},
		{"own earlier lease", lease.Observation{Ready: true, Present: true, Lease: 4, OwnLease: 5, Holder: self, Self: self}, lease.ActionClear},
		{"another's late write under the own lease", lease.Observation{Ready: true, Present: true, Lease: 5, OwnLease: 5, Holder: lease.Writer{Host: "b"}, Self: self}, lease.ActionClear},
		{"free, another may hold it by a lease of an earlier era", lease.Observation{Ready: true, FreeFor: time.Minute, EraWait: time.Second}, lease.ActionWait},
		{"free, first rank", lease.Observation{Ready: true}, lease.ActionAcquire},
		{"free, second rank", lease.Observation{Ready: true, Rank: 1}, lease.ActionDefer},
		{"free for long", lease.Observation{Ready: true, Rank: 1, FreeFor: time.Second}, lease.ActionAcquire},
		{"holds others", lease.Observation{Ready: true, HeldDuties: 4}, lease.ActionDefer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, lease.DefaultTiming().Decide(c.seen)) })
	}
}

func TestDeadlinePrecedesStoreExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := lease.DefaultTiming()
		timing.TTL = time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "ttl"))
		sentAt := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "sent at"))
		travel := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "travel"))
		rate := 1 + rapid.Float64Range(-timing.MaxClockDrift, timing.MaxClockDrift).Draw(t, "holder's clock rate")
		// Both clocks agree when the renewal is sent; the holder's then runs at
		// rate relative to the store's.
		storeEnd := travel + timing.TTL
		holderEnd := time.Duration(float64(timing.Deadline(sentAt)-sentAt) / rate)
		must.LessEq(t, storeEnd, holderEnd)
	})
}
