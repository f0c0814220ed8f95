package shift

import (
	"math"
	"time"
)

// trace describes the load and the faults of a run.
type trace struct {
	name   string
	length time.Duration
	// mix returns where the kinds' shares of the work lie between the
	// deployment's before (0) and after (1).
	mix func(t time.Duration) float64
	// load returns the factor on the deployment's load; nil means 1.
	load func(t time.Duration) float64
	// From flood to floodEnd, floodWorkspace sends floodFactor times its share.
	flood, floodEnd time.Duration
	// crash is when one engine crashes; it restarts after crashDowntime.
	crash time.Duration
	// reclaim is when the reclaimable engines of one failure domain receive notice,
	// and unavailable how long no new ones can be started there.
	reclaim     time.Duration
	unavailable time.Duration
	// From outage to outageEnd, the store is unavailable and no orders can be
	// issued.
	outage, outageEnd time.Duration
	// reportLag is an additional delay of load reports.
	reportLag time.Duration
}

const (
	// floodFactor is the factor on the traffic of a workspace that floods.
	floodFactor = 10
	// floodWorkspace is the index of the workspace that floods.
	floodWorkspace = 3
	// crashDowntime is the time from an engine's crash to its restart.
	crashDowntime = 60 * time.Second
	// reclaimNotice is the time from the notice to the end of a reclaimed engine.
	reclaimNotice = 5 * time.Second
	// never is a time that no trace reaches.
	never = 1000 * time.Hour
)

// swing returns a mix that goes from 0 to 1 and back to 0. In a trace of
// swingLength, each way takes two minutes.
func swing(length time.Duration) func(time.Duration) float64 {
	start, ramp := length/8, length*2/5
	return func(t time.Duration) float64 {
		switch {
		case t < start:
			return 0
		case t < start+ramp:
			return float64(t-start) / float64(ramp)
		case t < start+2*ramp:
			return 1 - float64(t-start-ramp)/float64(ramp)
		}
		return 0
	}
}

// blip returns a mix that is 1 for less than twenty seconds and 0 otherwise.
func blip(length time.Duration) func(time.Duration) float64 {
	const width = 18 * time.Second
	return func(t time.Duration) float64 {
		if t >= length/2 && t < length/2+width {
			return 1
		}
		return 0
	}
}

// drift returns a mix that goes slowly from 0 to 1 and back over the whole trace,
// as in the course of a day.
func drift(length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return 0.5 - 0.5*math.Cos(2*math.Pi*float64(t)/float64(length))
	}
}

// steady is a constant mix.
func steady(time.Duration) float64 { return 0.5 }

// swingLength is the full length of every trace except drift, which is four times as
// long.
const swingLength = 300 * time.Second

// traces returns the traces that are measured, at the given share of their full
// length.
func traces(scale float64) []*trace {
	length := time.Duration(float64(swingLength) * scale)
	day := 4 * length
	half := length / 2
	list := []*trace{
		{name: "swing", length: length, mix: swing(length)},
		{name: "blip", length: length, mix: blip(length)},
		{name: "drift", length: day, mix: drift(day), load: func(t time.Duration) float64 { return 0.45 + 0.55*drift(day)(t) }},
		{name: "flood", length: length, mix: steady, flood: length / 4, floodEnd: length * 3 / 4},
		{name: "crash", length: length, mix: swing(length), crash: half},
		{name: "reclaim", length: length, mix: swing(length), reclaim: half, unavailable: never},
		{name: "outage", length: length, mix: swing(length), outage: length / 8, outageEnd: length * 7 / 8},
		{name: "late reports", length: length, mix: swing(length), reportLag: 5 * time.Second},
	}
	for _, t := range list {
		t.setDefaults()
	}
	return list
}

// setDefaults sets the start time of absent faults to never, and a nil load to the
// constant 1.
func (t *trace) setDefaults() {
	for _, at := range []*time.Duration{&t.flood, &t.crash, &t.reclaim, &t.outage} {
		if *at == 0 {
			*at = never
		}
	}
	if t.load == nil {
		t.load = func(time.Duration) float64 { return 1 }
	}
}
