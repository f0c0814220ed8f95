package poison

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// answerRecent is how long after an answer to a prompt with a part here that part
	// is not reported for a crash: the crash has another cause.
	answerRecent = 2 * time.Second
	// reportCrashes is the number of crashes from which on a daemon sends the others its
	// answer to prompts with a part, and answerReportInterval the least time until the next.
	reportCrashes        = minCrashes / 2
	answerReportInterval = answeredFor / 2
)

// Answered records a complete answer. It clears the request and the parts of its prompt,
// and is sent to the other daemons if one of them has crashes to be cleared of.
func (d *Detector) Answered(req *request.Request) {
	keys := d.keysOf(req)
	if len(keys) == 0 {
		return
	}
	if e := d.mergeAnswered(keys); !e.empty() {
		d.opts.Send(&e)
	}
}

// keysOf returns the keys of a request: the parts of its prompt and, if targets ended under
// any request of late, the request itself. Otherwise it is not hashed.
func (d *Detector) keysOf(req *request.Request) []Key {
	var keys []Key
	for _, part := range promptOf(req).Parts {
		keys = append(keys, partKey(part))
	}
	if d.hashRequests.Load() {
		keys = append(keys, requestKey(uint64(req.Fingerprint())))
	}
	return keys
}

// mergeAnswered records a complete answer, and returns what other daemons lack.
func (d *Detector) mergeAnswered(keys []Key) Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	var e Evidence
	for _, key := range keys {
		answer := Answer{Part: key.Hash, Kind: key.Kind, At: now.UnixMilli()}
		if len(d.table.crashesOf(key)) > 0 || d.suspicions.has(key) {
			e.Answers = append(e.Answers, answer)
		}
		d.table.mergeAnswer(answer, now)
	}
	if e.empty() {
		return e
	}
	for _, answer := range e.Answers {
		d.answersReported[answer.key()] = now.UnixMilli()
	}
	d.update(&e, now, true)
	return e
}

// answersToReport returns the answers of the last minute to what others report for several
// crashes, unless such an answer was sent shortly before.
func (d *Detector) answersToReport(crashes []Crash, now time.Time) Evidence {
	var e Evidence
	for _, crash := range crashes {
		for _, key := range crash.keys() {
			at := d.table.answered[key]
			recent := now.UnixMilli()-at <= answeredFor.Milliseconds()
			reported := now.UnixMilli()-d.answersReported[key] < answerReportInterval.Milliseconds()
			if recent && !reported && len(d.table.crashesOf(key)) >= reportCrashes {
				e.Answers = append(e.Answers, Answer{Part: key.Hash, Kind: key.Kind, At: at})
				d.answersReported[key] = now.UnixMilli()
			}
		}
	}
	return e
}
