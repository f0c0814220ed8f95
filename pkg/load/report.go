package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// Report holds the results of a run. Latencies are in milliseconds.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Before and After are the results before and after the mix shifted.
	Before *MixResults `json:"before"`
	After  *MixResults `json:"after"`
}

// MixResults holds the results of the calls of one mix.
type MixResults struct {
	Calls    int                     `json:"calls"`
	Outcomes map[request.Outcome]int `json:"outcomes"`
	Tokens   int                     `json:"tokens"`
	// FirstToken is the time to the first token of streams, Total the time of
	// all answered calls, and TokenGap the mean time between the tokens of a stream.
	FirstToken Percentiles `json:"firstTokenMs"`
	Total      Percentiles `json:"totalMs"`
	TokenGap   Percentiles `json:"tokenGapMs"`

	first, total, gap *hdrhistogram.Histogram
}

// Percentiles holds the percentiles and the maximum of a time, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// maxRecordedMicros is the longest time that the histograms record, in
	// microseconds; longer times are recorded as this.
	maxRecordedMicros = int64(time.Hour / time.Microsecond)
	// significantDigits is the number of significant decimal digits of the histograms.
	significantDigits = 3
)

// newReport returns an empty report.
func newReport() *Report { return &Report{Before: newMixResults(), After: newMixResults()} }

// newMixResults returns empty results.
func newMixResults() *MixResults {
	return &MixResults{
		Outcomes: make(map[request.Outcome]int),
		first:    hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		total:    hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		gap:      hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
}

// add adds one call to the results of its mix.
func (r *Report) add(result *CallResult) {
	results := r.Before
	if result.Call.Shifted {
		results = r.After
	}
	results.add(result)
}

// add counts one call, and its times if it was answered.
func (m *MixResults) add(result *CallResult) {
	m.Calls++
	m.Outcomes[result.Outcome]++
	if result.Outcome != request.Answered {
		return
	}
	m.Tokens += result.Tokens
	recordTime(m.total, result.Total)
	if result.Tokens > 0 {
		recordTime(m.first, result.First)
	}
	if result.Tokens > 1 {
		recordTime(m.gap, (result.Total-result.First)/time.Duration(result.Tokens-1))
	}
}

// Finish computes the percentiles.
func (r *Report) Finish() *Report {
	for _, results := range []*MixResults{r.Before, r.After} {
		results.FirstToken = percentilesOf(results.first)
		results.Total = percentilesOf(results.total)
		results.TokenGap = percentilesOf(results.gap)
	}
	return r
}

// recordTime records one time in a histogram.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// Recording a value within the histogram's range can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

// percentilesOf returns a histogram's percentiles.
func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Percentiles{
		P50: millis(h.ValueAtQuantile(50)), P95: millis(h.ValueAtQuantile(95)),
		P99: millis(h.ValueAtQuantile(99)), Max: millis(h.Max()),
	}
}
