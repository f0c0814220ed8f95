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

// Answered records a complete answer. It clears the parts of the prompt, and is sent
// to the other daemons if one of them has crashes to be cleared of.
func (d *Detector) Answered(req *request.Request) {
	prompt, ok := promptOf(req)
	if !ok {
		return
	}
	if e := d.mergeAnswered(prompt); !e.empty() {
		d.opts.Send(&e)
	}
}

// mergeAnswered records a complete answer, and returns what other daemons lack.
func (d *Detector) mergeAnswered(prompt Prompt) Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	var e Evidence
	for _, part := range prompt.Parts {
		answer := Answer{Part: part, At: now.UnixMilli()}
		if len(d.table.crashesOf(part)) > 0 {
			e.Answers = append(e.Answers, answer)
		}
		d.table.mergeAnswer(answer, now)
	}
	if e.empty() {
		return e
	}
	for _, answer := range e.Answers {
		d.answersReported[answer.Part] = now.UnixMilli()
	}
	d.update(&e, now)
	return e
}

// answersToReport returns the answers of the last minute to prompts with a part that others
// report for several crashes, unless such an answer was sent shortly before.
func (d *Detector) answersToReport(crashes []Crash, now time.Time) Evidence {
	var e Evidence
	for _, crash := range crashes {
		for _, prompt := range crash.Lost {
			for _, part := range prompt.Parts {
				at := d.table.answered[part]
				recent := now.UnixMilli()-at <= answeredFor.Milliseconds()
				reported := now.UnixMilli()-d.answersReported[part] < answerReportInterval.Milliseconds()
				if recent && !reported && len(d.table.crashesOf(part)) >= reportCrashes {
					e.Answers = append(e.Answers, Answer{Part: part, At: at})
					d.answersReported[part] = now.UnixMilli()
				}
			}
		}
	}
	return e
}
