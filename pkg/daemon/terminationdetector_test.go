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

// fixedView is a membership view with fixed members.
type fixedView []membership.Member

func (v fixedView) Members() []membership.Member { return v }

// TestTerminationDetectorEnded guards against taking a host that is silent, or was
// never listed, for one whose process has ended: its process may still send orders.
func TestTerminationDetectorEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := hosts.New(0, external.HostRecord{Host: "silent"}, external.HostRecord{Host: "removed"})
		detector := newTerminationDetector(fixedView{
			{Host: "left", Incarnation: 3, Status: membership.Left},
			{Host: "again", Incarnation: 4, Status: membership.Alive},
			{Host: "silent", Incarnation: 5, Status: membership.Dead},
		}, list)
		must.True(t, detector.Ended("left", 3))
		must.True(t, detector.Ended("again", 3))
		must.False(t, detector.Ended("again", 4))
		must.False(t, detector.Ended("silent", 5))
		must.False(t, detector.Ended("removed", 1))
		must.False(t, detector.Ended("never listed", 1))
		list.Set([]external.HostRecord{{Host: "silent"}})
		time.Sleep(hostListInterval)
		must.True(t, detector.Ended("removed", 1))
		must.False(t, detector.Ended("never listed", 1))
	})
}
