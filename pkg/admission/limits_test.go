package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// simulatedFleet holds the limits of one workspace at each daemon of a fleet, and
// how many requests each daemon admitted.
type simulatedFleet struct {
	limits   []*limits
	admitted []uint64
	// history holds the values of admitted after each step.
	history [][]uint64
	// daemons is the number of daemons that are alive at any time.
	daemons int
}

// step offers requests to every daemon and returns how many were admitted. If
// reporting is set, each daemon is charged with the usage that the others had lag
// steps ago.
func (s *simulatedFleet) step(now time.Time, knobs *config.AdmissionKnobs, lag, offered int, reporting bool) int {
	taken := 0
	for i, l := range s.limits {
		if l == nil {
			continue
		}
		if at := len(s.history) - lag; reporting && at >= 0 {
			var use Consumption
			for j, n := range s.history[at] {
				if j != i {
					use.Requests += n
				}
			}
			l.chargeRemote(use)
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

const stepInterval = 100 * time.Millisecond

// floodExcess floods a fleet with requests and returns the largest excess over the
// limit's rate in any window, in seconds of the rate.
func floodExcess(daemons, lag, steps int, reporting bool) float64 {
	knobs := config.BuiltinKnobs().Admission
	knobs.RequestsPerSecond = 20
	s := &simulatedFleet{admitted: make([]uint64, daemons), daemons: daemons}
	for range daemons {
		s.limits = append(s.limits, &limits{})
	}
	now, total, least, worst := time.Unix(1e9, 0), 0.0, 0.0, 0.0
	for range steps {
		total += float64(s.step(now, &knobs, lag, 8, reporting))
		now = now.Add(stepInterval)
		excess := total/knobs.RequestsPerSecond - now.Sub(time.Unix(1e9, 0)).Seconds()
		least = min(least, excess)
		worst = max(worst, excess-least)
	}
	return worst
}

func TestFleetRateLimitErrorBound(t *testing.T) {
	burst := config.BuiltinKnobs().Admission.Burst.D().Seconds()
	rapid.Check(t, func(t *rapid.T) {
		daemons, lag := rapid.IntRange(1, 12).Draw(t, "daemons"), rapid.IntRange(1, 20).Draw(t, "lag")
		staleness := float64(lag) * stepInterval.Seconds()
		must.LessEq(t, burst+localFactor*(burst+2*(staleness+stepInterval.Seconds())), floodExcess(daemons, lag, 120, true))
	})
	// Without reports from the other daemons the excess grows without bound.
	must.Greater(t, burst+localFactor*(burst+2*(1+stepInterval.Seconds())), floodExcess(8, 10, 300, false))
}

// replace replaces one daemon with a new one. The new daemon has no history, and the
// others keep the totals of the old one.
func (s *simulatedFleet) replace(i int) {
	s.limits[i] = nil
	s.limits = append(s.limits, &limits{})
	s.admitted = append(s.admitted, 0)
}

func TestFleetRateLimitErrorBoundUnderChurn(t *testing.T) {
	burst := config.BuiltinKnobs().Admission.Burst.D().Seconds()
	rapid.Check(t, func(t *rapid.T) {
		daemons, lag := rapid.IntRange(1, 12).Draw(t, "daemons"), rapid.IntRange(1, 20).Draw(t, "lag")
		replaced := rapid.IntRange(0, 6).Draw(t, "replaced")
		every := rapid.IntRange(1, 20).Draw(t, "every")
		staleness := float64(lag)*stepInterval.Seconds() + stepInterval.Seconds()
		bound := burst + localFactor*(burst+2*staleness) + float64(replaced)*localFraction(daemons)*(burst+2*staleness)
		must.LessEq(t, bound, churnExcess(daemons, lag, replaced, every))
	})
}

// churnExcess is floodExcess for a fleet whose daemons are replaced one after
// another.
func churnExcess(daemons, lag, replaced, every int) float64 {
	knobs := config.BuiltinKnobs().Admission
	knobs.RequestsPerSecond = 20
	s := &simulatedFleet{admitted: make([]uint64, daemons), daemons: daemons}
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
		now = now.Add(stepInterval)
		excess := total/knobs.RequestsPerSecond - now.Sub(start).Seconds()
		least = min(least, excess)
		worst = max(worst, excess-least)
	}
	return worst
}

func TestDaemonLossRefundsNothing(t *testing.T) {
	l := &limits{}
	l.chargeRemote(Consumption{Requests: 100})
	l.chargeRemote(Consumption{Requests: 40})
	must.Eq(t, 0, l.fleetRequests.level)
	l.chargeRemote(Consumption{Requests: 45})
	must.Eq(t, -5, l.fleetRequests.level)
}
