package shift

import (
	"math"
	"time"
)

// trace is what happens during a run.
type trace struct {
	name   string
	length time.Duration
	// mix returns how far the swing has gone, from 0 to 1.
	mix func(t time.Duration) float64
	// load returns the factor on the deployment's load; nil means one.
	load func(t time.Duration) float64
	// flood is when the workspace floods sends floodFactor times its part.
	flood, floodEnd time.Duration
	// crash is when one engine dies; it is back after crashDown.
	crash time.Duration
	// reclaim is when one domain's reclaimable targets get their notice, and
	// unavailable how long no new ones can be had there.
	reclaim     time.Duration
	unavailable time.Duration
	// outage bounds the time that no orders can be given.
	outage, outageEnd time.Duration
	// reportLag is added to the lag of the load reports.
	reportLag time.Duration
}

const (
	// floodFactor is how many times its part a flooding workspace sends.
	floodFactor = 10
	// floodWorkspace is the one that floods.
	floodWorkspace = 3
	// crashDown is how long a crashed engine is away.
	crashDown = 60 * time.Second
	// reclaimNotice is the time between the notice and the end.
	reclaimNotice = 5 * time.Second
	// never is a time that no trace reaches.
	never = 1000 * time.Hour
)

// swing is a mix that goes over in two minutes and comes back in two.
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

// blip is a mix that goes over for less than twenty seconds.
func blip(length time.Duration) func(time.Duration) float64 {
	const width = 18 * time.Second
	return func(t time.Duration) float64 {
		if t >= length/2 && t < length/2+width {
			return 1
		}
		return 0
	}
}

// drift is a day's slow change, in the trace's length.
func drift(length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return 0.5 - 0.5*math.Cos(2*math.Pi*float64(t)/float64(length))
	}
}

// steady is a mix that does not change.
func steady(time.Duration) float64 { return 0.5 }

// swingLength is the length of the traces with a swing: two minutes each way.
const swingLength = 300 * time.Second

// traces lists the measured ones at the given share of their full length.
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
		t.fill()
	}
	return list
}

// fill sets the times of what does not happen.
func (t *trace) fill() {
	for _, at := range []*time.Duration{&t.flood, &t.crash, &t.reclaim, &t.outage} {
		if *at == 0 {
			*at = never
		}
	}
	if t.load == nil {
		t.load = func(time.Duration) float64 { return 1 }
	}
}
