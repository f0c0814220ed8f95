package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// fleetPart is the daemons' limits of one workspace, with what each admitted.
type fleetPart struct {
	limits   []*limits
	admitted []uint64
	// history holds the admitted counts of each step.
	history [][]uint64
	// daemons counts the daemons that are alive at once.
	daemons int
}

// step offers requests to every daemon and returns how many were admitted.
// Daemons hear of each other lag steps late, where heard is set.
func (s *fleetPart) step(now time.Time, knobs *config.AdmissionKnobs, lag, offered int, heard bool) int {
	taken := 0
	for i, l := range s.limits {
		if l == nil {
			continue
		}
		if at := len(s.history) - lag; heard && at >= 0 {
			var use Consumption
			for j, n := range s.history[at] {
				if j != i {
					use.Requests += n
				}
			}
			l.charge(use)
		}
		l.refill(now, knobs, s.daemons)
		for range offered {
			if l.take(&request.Request{}, knobs, s.daemons) == nil {
				s.admitted[i]++
				taken++
			}
		}
	}
	s.history = append(s.history, append([]uint64(nil), s.admitted...))
	return taken
}

const limitStep = 100 * time.Millisecond

// flood runs daemons against a limit and returns the most that was admitted
// above the limit's own rate in any window, in seconds of the rate.
func flood(daemons, lag, steps int, heard bool) float64 {
	knobs := config.BuiltinKnobs().Admission
	knobs.RequestsPerSecond = 20
	s := &fleetPart{admitted: make([]uint64, daemons), daemons: daemons}
	for range daemons {
		s.limits = append(s.limits, &limits{})
	}
	now, total, least, worst := time.Unix(1e9, 0), 0.0, 0.0, 0.0
	for range steps {
		total += float64(s.step(now, &knobs, lag, 8, heard))
		now = now.Add(limitStep)
		excess := total/knobs.RequestsPerSecond - now.Sub(time.Unix(1e9, 0)).Seconds()
		least = min(least, excess)
		worst = max(worst, excess-least)
	}
	return worst
}

func TestFleetKeepsTheStatedErrorOfARate(t *testing.T) {
	burst := config.BuiltinKnobs().Admission.Burst.D().Seconds()
	rapid.Check(t, func(t *rapid.T) {
		daemons, lag := rapid.IntRange(1, 12).Draw(t, "daemons"), rapid.IntRange(1, 20).Draw(t, "lag")
		behind := float64(lag) * limitStep.Seconds()
		must.LessEq(t, burst+localFactor*(burst+2*(behind+limitStep.Seconds())), flood(daemons, lag, 120, true))
	})
	// Without word from the others the fleet drifts off without a bound.
	must.Greater(t, burst+localFactor*(burst+2*(1+limitStep.Seconds())), flood(8, 10, 300, false))
}

// replace ends the life of one daemon. Its successor knows of nothing, and the
// others keep the sums of the life that ended.
func (s *fleetPart) replace(i int) {
	s.limits[i] = nil
	s.limits = append(s.limits, &limits{})
	s.admitted = append(s.admitted, 0)
}

func TestFleetKeepsTheStatedErrorThroughChurn(t *testing.T) {
	burst := config.BuiltinKnobs().Admission.Burst.D().Seconds()
	rapid.Check(t, func(t *rapid.T) {
		daemons, lag := rapid.IntRange(1, 12).Draw(t, "daemons"), rapid.IntRange(1, 20).Draw(t, "lag")
		replaced := rapid.IntRange(0, 6).Draw(t, "replaced")
		every := rapid.IntRange(1, 20).Draw(t, "every")
		behind := float64(lag)*limitStep.Seconds() + limitStep.Seconds()
		stated := burst + localFactor*(burst+2*behind) + float64(replaced)*localPart(daemons)*(burst+2*behind)
		must.LessEq(t, stated, churn(daemons, lag, replaced, every))
	})
}

// churn runs a flood in which daemons are replaced one after another, and
// returns the most that was admitted above the limit's rate.
func churn(daemons, lag, replaced, every int) float64 {
	knobs := config.BuiltinKnobs().Admission
	knobs.RequestsPerSecond = 20
	s := &fleetPart{admitted: make([]uint64, daemons), daemons: daemons}
	for range daemons {
		s.limits = append(s.limits, &limits{})
	}
	start := time.Unix(1e9, 0)
	now, total, least, worst := start, 0.0, 0.0, 0.0
	for step := range 120 {
		if step%every == every-1 && replaced > 0 {
			s.replace(len(s.limits) - daemons)
			replaced--
		}
		total += float64(s.step(now, &knobs, lag, 8, true))
		now = now.Add(limitStep)
		excess := total/knobs.RequestsPerSecond - now.Sub(start).Seconds()
		least = min(least, excess)
		worst = max(worst, excess-least)
	}
	return worst
}

func TestLostDaemonGivesNothingBack(t *testing.T) {
	l := &limits{}
	l.charge(Consumption{Requests: 100})
	l.charge(Consumption{Requests: 40})
	must.Eq(t, 0, l.fleetRequests.level)
	l.charge(Consumption{Requests: 45})
	must.Eq(t, -5, l.fleetRequests.level)
}
