package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/standin/hosts"
)

// fixedView is a membership that does not change.
type fixedView []membership.Member

func (v fixedView) Members() []membership.Member { return v }

func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := hosts.New(0, external.HostRecord{Host: "silent"}, external.HostRecord{Host: "removed"})
		f := newFates(fixedView{
			{Host: "left", Incarnation: 3, Status: membership.Left},
			{Host: "again", Incarnation: 4, Status: membership.Alive},
			{Host: "silent", Incarnation: 5, Status: membership.Dead},
		}, list)
		must.True(t, f.Gone("left", 3))
		must.True(t, f.Gone("again", 3))
		must.False(t, f.Gone("again", 4))
		must.False(t, f.Gone("silent", 5))
		must.False(t, f.Gone("removed", 1))
		must.False(t, f.Gone("never listed", 1))
		list.Set([]external.HostRecord{{Host: "silent"}})
		time.Sleep(fatesEvery)
		must.True(t, f.Gone("removed", 1))
		must.False(t, f.Gone("never listed", 1))
	})
}
