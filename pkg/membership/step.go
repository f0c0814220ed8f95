package membership

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Tick ends silent members, forgets old ones, and returns a gossip for each of
// the neighbours.
func (t *Table) Tick(now time.Time, mine Beat, neighbours []ident.Host) []Envelope {
	suspects := t.judge(now)
	records := t.news()
	mine.Host, mine.Incarnation = t.self.Host, t.self.Incarnation
	out := make([]Envelope, 0, len(neighbours))
	digest := t.digest()
	for _, to := range neighbours {
		out = append(out, Envelope{To: to, Gossip: Gossip{From: mine, Digest: digest, Records: records}})
	}
	for _, suspect := range suspects {
		t.ask(out, suspect)
	}
	return out
}

// judge sets every member's status and returns the suspects.
func (t *Table) judge(now time.Time) []Ask {
	var suspects []Ask
	for host, e := range t.members {
		silence := now.Sub(e.heardAt)
		switch {
		case e.record.Ended:
			if now.Sub(e.endedAt) > t.timing.ForgetAfter {
				delete(t.members, host)
				t.fresh = false
			}
		case silence > t.timing.DeadAfter:
			t.end(e, now, false)
		case silence > t.timing.SuspectAfter || e.doubted:
			e.status = Suspect
			suspects = append(suspects, Ask{Host: host, Incarnation: e.record.Incarnation})
		default:
			e.status = Alive
		}
	}
	slices.SortFunc(suspects, func(a, b Ask) int { return cmp.Compare(a.Host, b.Host) })
	return suspects
}

// news returns the records that are still to be told.
func (t *Table) news() []Record {
	var records []Record
	if t.tells > 0 {
		t.tells--
		records = append(records, t.self)
	}
	for _, e := range t.members {
		if e.tells > 0 && len(records) < maxRecords {
			e.tells--
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return records
}

// ask adds a question on a suspect to a few gossips.
func (t *Table) ask(out []Envelope, suspect Ask) {
	asked := 0
	for _, i := range t.random.Perm(len(out)) {
		if out[i].To == suspect.Host || asked == askCount {
			continue
		}
		out[i].Gossip.Asks = append(out[i].Gossip.Asks, suspect)
		asked++
	}
}

// Receive takes a gossip in and returns the answer, if there is one.
func (t *Table) Receive(now time.Time, gossip *Gossip) (Gossip, bool) {
	for _, record := range gossip.Records {
		t.Merge(now, record)
	}
	var answer Gossip
	if !t.Heard(now, gossip.From) {
		t.stranger(now, gossip.From, &answer)
	}
	for _, a := range gossip.Answers {
		// An age can't be negative; a malformed one counts as old.
		if a.Age >= 0 {
			t.Heard(now.Add(-a.Age), a.Beat)
		}
	}
	for _, ask := range gossip.Asks {
		t.answer(now, ask, &answer)
	}
	t.compare(gossip, &answer)
	answer.From = Beat{Host: t.self.Host, Incarnation: t.self.Incarnation}
	answer.Digest = t.digest()
	return answer, len(answer.Records)+len(answer.Answers) > 0
}

// stranger deals with a sender whose incarnation is unknown or over.
func (t *Table) stranger(now time.Time, beat Beat, answer *Gossip) {
	e := t.members[beat.Host]
	if beat.Host == t.self.Host {
		return
	}
	if e != nil && beat.Incarnation <= e.record.Incarnation {
		answer.Records = append(answer.Records, e.record)
		return
	}
	record := Record{Host: beat.Host, Incarnation: beat.Incarnation}
	if e != nil {
		record.FailureDomain, record.Region, record.Address = e.record.FailureDomain, e.record.Region, e.record.Address
	}
	t.Merge(now, record)
	t.Heard(now, beat)
}

// answer says how long ago a suspect was heard here, if it was lately.
func (t *Table) answer(now time.Time, ask Ask, answer *Gossip) {
	e := t.members[ask.Host]
	if e == nil || e.record.Incarnation != ask.Incarnation || e.doubted {
		return
	}
	age := now.Sub(e.heardAt)
	if age > t.timing.SuspectAfter || e.record.Ended {
		return
	}
	beat := Beat{Host: ask.Host, Incarnation: ask.Incarnation, Revision: e.revision, HoldsRevision: e.holdsRevision}
	answer.Answers = append(answer.Answers, Answer{Beat: beat, Age: age})
}

// compare answers with the whole table where digests differ twice in a row.
func (t *Table) compare(gossip *Gossip, answer *Gossip) {
	from := gossip.From.Host
	if gossip.Digest == t.digest() {
		delete(t.differed, from)
		return
	}
	t.differed[from]++
	if t.differed[from] < differLimit {
		return
	}
	delete(t.differed, from)
	answer.Records = t.Records()
	if len(answer.Records) > maxRecords {
		answer.Records = answer.Records[:maxRecords]
	}
}

// differLimit is how often a digest differs before the whole table is sent.
const differLimit = 2
