package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// Report is what a run measured. Times are in milliseconds.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Before and After are the calls before and after the mix shifted.
	Before *Part `json:"before"`
	After  *Part `json:"after"`
}

// Part is what the calls of one mix measured.
type Part struct {
	Calls    int                     `json:"calls"`
	Outcomes map[request.Outcome]int `json:"outcomes"`
	Tokens   int                     `json:"tokens"`
	// FirstToken is of streams, Total of all answered calls and Gap the mean
	// between a stream's tokens.
	FirstToken Times `json:"firstTokenMs"`
	Total      Times `json:"totalMs"`
	Gap        Times `json:"tokenGapMs"`

	first, total, gap *hdrhistogram.Histogram
}

// Times are percentiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// longest is the longest time that is told apart, in microseconds.
	longest = int64(time.Hour / time.Microsecond)
	// digits is how exact the histograms are.
	digits = 3
)

// newReport returns an empty report.
func newReport() *Report { return &Report{Before: newPart(), After: newPart()} }

// newPart returns an empty part.
func newPart() *Part {
	return &Part{
		Outcomes: make(map[request.Outcome]int),
		first:    hdrhistogram.New(1, longest, digits),
		total:    hdrhistogram.New(1, longest, digits),
		gap:      hdrhistogram.New(1, longest, digits),
	}
}

// add counts one call.
func (r *Report) add(sample *Sample) {
	part := r.Before
	if sample.Call.Shifted {
		part = r.After
	}
	part.add(sample)
}

// add counts one call.
func (p *Part) add(sample *Sample) {
	p.Calls++
	p.Outcomes[sample.Outcome]++
	if sample.Outcome != request.Answered {
		return
	}
	p.Tokens += sample.Tokens
	record(p.total, sample.Total)
	if sample.Tokens > 0 {
		record(p.first, sample.First)
	}
	if sample.Tokens > 1 {
		record(p.gap, (sample.Total-sample.First)/time.Duration(sample.Tokens-1))
	}
}

// Finish works the percentiles out.
func (r *Report) Finish() *Report {
	for _, part := range []*Part{r.Before, r.After} {
		part.FirstToken = timesOf(part.first)
		part.Total = timesOf(part.total)
		part.Gap = timesOf(part.gap)
	}
	return r
}

// record takes one time down.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Times within the bounds can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest))
}

// timesOf returns a histogram's percentiles.
func timesOf(h *hdrhistogram.Histogram) Times {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Times{
		P50: millis(h.ValueAtQuantile(50)), P95: millis(h.ValueAtQuantile(95)),
		P99: millis(h.ValueAtQuantile(99)), Max: millis(h.Max()),
	}
}
