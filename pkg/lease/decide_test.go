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
		look lease.Look
		want lease.Action
	}{
		{"no view", lease.Look{Rank: 0}, lease.ActionIgnore},
		{"no candidate", lease.Look{Ready: true, Rank: duty.NotRanked}, lease.ActionIgnore},
		{"rank too low", lease.Look{Ready: true, Rank: 3}, lease.ActionIgnore},
		{"held by another", lease.Look{Ready: true, Present: true, Lease: 4, OwnLease: 5, Holder: lease.Writer{Host: "b", Incarnation: 2}, Self: self}, lease.ActionWait},
		{"held by an earlier life", lease.Look{Ready: true, Present: true, Lease: 4, OwnLease: 5, Holder: lease.Writer{Host: "a", Incarnation: 1}, Self: self}, lease.ActionWait},
		{"own lost answer", lease.Look{Ready: true, Present: true, Lease: 5, OwnLease: 5, Holder: self, Self: self}, lease.ActionAdopt},
		{"own earlier lease", lease.Look{Ready: true, Present: true, Lease: 4, OwnLease: 5, Holder: self, Self: self}, lease.ActionClear},
		{"free, first rank", lease.Look{Ready: true}, lease.ActionAcquire},
		{"free, second rank", lease.Look{Ready: true, Rank: 1}, lease.ActionDefer},
		{"free for long", lease.Look{Ready: true, Rank: 1, Free: time.Second}, lease.ActionAcquire},
		{"holds others", lease.Look{Ready: true, Held: 4}, lease.ActionDefer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, lease.DefaultTerms().Decide(c.look)) })
	}
}

func TestDeadlineComesBeforeTheStoresEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := lease.DefaultTerms()
		terms.TTL = time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "ttl"))
		sentAt := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "sent at"))
		travel := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "travel"))
		rate := 1 + rapid.Float64Range(-terms.ClockRate, terms.ClockRate).Draw(t, "holder's clock rate")
		// Both clocks agree at the sending; the holder's then runs at rate.
		storeEnd := travel + terms.TTL
		holderEnd := time.Duration(float64(terms.Deadline(sentAt)-sentAt) / rate)
		must.LessEq(t, storeEnd, holderEnd)
	})
}
