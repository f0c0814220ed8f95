package backlog

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/capacity"
	"amaranthplank.example/amaranthplank/pkg/targetlimit"
)

// maxBuffered bounds the placed prompts, the exclusions, the limits and the probes that wait
// to be sent to the sinks. Once it is reached, those of further reports are not forwarded.
const maxBuffered = 2048

// cellBuffer collects what a daemon sends to the sinks: the placed prompts, exclusions,
// limits, probes and times of its cell's daemons, and its own sums.
type cellBuffer struct {
	// own is the outstanding backlog of the daemon itself.
	own        []Outstanding
	placed     []PlacedPrompt
	exclusions []Exclusion
	limits     []targetlimit.Statement
	probed     []ProbeResult
	// times sums up the daemons' summaries; it is nil before the first.
	times *capacity.Outbox
}

// add buffers the report of a daemon of the cell.
func (b *cellBuffer) add(report *Report) {
	if len(b.placed) < maxBuffered {
		b.placed = append(b.placed, report.Placed...)
	}
	if len(b.exclusions) < maxBuffered {
		b.exclusions = append(b.exclusions, report.Away...)
	}
	if len(b.limits) < maxBuffered {
		b.limits = append(b.limits, report.Limits...)
	}
	if len(b.probed) < maxBuffered {
		b.probed = append(b.probed, report.Probed...)
	}
	if len(report.Times) == 0 {
		return
	}
	if b.times == nil {
		b.times = capacity.NewOutbox()
	}
	b.times.Forward(report.Times)
}

// addOwn buffers the daemon's own report.
func (b *cellBuffer) addOwn(report *Report) {
	b.own = report.Outstanding
	b.add(report)
}

// flush returns the buffered content as a report to a number of sinks and clears it. The
// sums stay, and times that exceed the bytes of summaries.
func (b *cellBuffer) flush(sinks int, now time.Time) Report {
	report := Report{Outstanding: b.own, Placed: b.placed, Away: b.exclusions, Limits: b.limits, Probed: b.probed}
	if b.times != nil {
		report.Times = b.times.Take(sinks, now)
	}
	b.placed, b.exclusions, b.limits, b.probed = nil, nil, nil, nil
	return report
}
