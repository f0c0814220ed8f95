package rolekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestPrefillShareLeavesRoomForAnswers checks that the share never exceeds the largest
// one, that the answers get the engines that they need unless these are more than
// their part of the work, and that prompts always keep their part.
func TestPrefillShareLeavesRoomForAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 200).Draw(t, "engines")
		largest := rapid.Float64Range(0, 1).Draw(t, "largest")
		work := Work{
			DecodeLoad:  rapid.Float64Range(0, 300).Draw(t, "load"),
			PrefillPart: rapid.Float64Range(0, 1).Draw(t, "part"),
		}
		share := PrefillShare(work, engines, largest)
		must.LessEq(t, largest, share)
		must.GreaterEq(t, min(largest, work.PrefillPart), share)
		mixed := (1 - share) * float64(engines)
		enough := work.DecodeLoad <= decodeUtilization*mixed+1e-9
		must.True(t, enough || share == min(largest, work.PrefillPart))
	})
}

// TestAnswersThatFillTheirEnginesGetMore gives a model more answers than its engines
// for them hold. Engines must be taken from the prompts, and returned to them only
// some time after the load has fallen.
func TestAnswersThatFillTheirEnginesGetMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		load := func() Work {
			if since := time.Since(start); since > 20*time.Second && since < 60*time.Second {
				return Work{DecodeLoad: 5.6, PrefillPart: 0.3}
			}
			return Work{DecodeLoad: 0.5, PrefillPart: 0.8}
		}
		atPeak := runKeeper(t, 0.7, &authority{}, 40*time.Second, func(f *fakeEngines) { f.work = load })
		must.Eq(t, 5, atPeak.prefillCount(), must.Sprint("5.6 full batches take seven engines"))
		start = time.Now()
		after := runKeeper(t, 0.7, &authority{}, 3*time.Minute, func(f *fakeEngines) { f.work = load })
		must.Eq(t, 8, after.prefillCount())
	})
}

// TestSwingsWithinSecondsChangeNoRoles lets the answers swing every 2.8 seconds. The
// roles must follow the peaks and then stay.
func TestSwingsWithinSecondsChangeNoRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := runKeeper(t, 0.7, &authority{}, 2*time.Minute, func(f *fakeEngines) {
			f.work = func() Work {
				if int(time.Since(start).Seconds()/2.8)%2 == 0 {
					return Work{DecodeLoad: 5.6, PrefillPart: 0.2}
				}
				return Work{DecodeLoad: 1.5, PrefillPart: 0.2}
			}
		})
		must.Eq(t, 5, f.prefillCount())
		must.Eq(t, 5, f.orders, must.Sprint("one order for each engine that changes"))
	})
}
