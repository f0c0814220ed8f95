package tally

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// timekeepers are daemons that tell each other their true time.
type timekeepers struct {
	times      []*TrueTime
	agreements []*Agreement
}

// newTimekeepers returns daemons whose time of day was off by so much when they
// started.
func newTimekeepers(off ...time.Duration) *timekeepers {
	k := &timekeepers{}
	steady := clock.NewRuntime()
	for _, by := range off {
		t := NewTrueTime(steady)
		t.shift(by)
		k.times = append(k.times, t)
		k.agreements = append(k.agreements, NewAgreement(t, slog.New(slog.DiscardHandler)))
	}
	return k
}

// talk has each daemon tell the others for some seconds.
func (k *timekeepers) talk(seconds int) {
	for range seconds * 5 {
		for from := range k.times {
			for to := range k.agreements {
				if from != to {
					k.agreements[to].Heard(ident.Host(fmt.Sprint(from)), k.times[from].Now())
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestADaemonThatStartedWithAWrongTimeIsCorrected has some of eight start while
// their clocks were stepped, ahead and back. The others keep their time.
func TestADaemonThatStartedWithAWrongTimeIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTimekeepers(0, -2500*time.Millisecond, 0, 0, 2500*time.Millisecond, 0, -2500*time.Millisecond, 0)
		k.talk(3)
		for i, keeper := range k.times {
			must.Less(t, leastCorrection, time.Since(keeper.Now()).Abs(), must.Sprint(i))
		}
	})
}

// TestFewVoicesCorrectNothing has two daemons disagree, and one be alone.
func TestFewVoicesCorrectNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTimekeepers(0, 3*time.Second)
		k.talk(3)
		must.Eq(t, 3*time.Second, k.times[1].Now().Sub(k.times[0].Now()))
	})
}

// TestVoicesOfDaemonsThatAreGoneFade has wrong ones tell their time and go.
func TestVoicesOfDaemonsThatAreGoneFade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTimekeepers(0)
		k.agreements[0].Heard("a", k.times[0].Now().Add(time.Hour))
		time.Sleep(voiceAge + time.Second)
		k.agreements[0].Heard("b", k.times[0].Now().Add(time.Hour))
		must.Less(t, time.Second, time.Since(k.times[0].Now()).Abs())
	})
}

// TestOldMessagesCorrectNothing has a daemon hear at once what was sent to it
// while it was frozen, soon after its start, and messages that come late long
// after it.
func TestOldMessagesCorrectNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTimekeepers(0, 0, 0, 0)
		k.talk(2)
		for late := range 30 {
			for _, from := range []ident.Host{"1", "2", "3"} {
				k.agreements[0].Heard(from, k.times[0].Now().Add(time.Duration(late-30)*200*time.Millisecond))
			}
		}
		k.talk(2)
		must.Less(t, time.Millisecond, time.Since(k.times[0].Now()).Abs())
		time.Sleep(learnFor)
		for range 30 {
			for _, from := range []ident.Host{"1", "2", "3"} {
				k.agreements[0].Heard(from, k.times[0].Now().Add(-time.Second))
			}
			time.Sleep(200 * time.Millisecond)
		}
		must.Less(t, time.Millisecond, time.Since(k.times[0].Now()).Abs())
	})
}
