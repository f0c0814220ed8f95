package membership

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Tick ends members without a recent heartbeat, forgets old ones, and returns a
// gossip for each of the neighbors.
func (t *Table) Tick(now time.Time, heartbeat Heartbeat, neighbors []ident.Host) []Envelope {
	suspects := t.updateStatuses(now)
	records := t.pendingRecords()
	heartbeat.Host, heartbeat.Incarnation = t.self.Host, t.self.Incarnation
	out := make([]Envelope, 0, len(neighbors))
	digest := t.digest()
	for _, to := range neighbors {
		out = append(out, Envelope{To: to, Gossip: Gossip{From: heartbeat, Digest: digest, Records: records}})
	}
	for _, suspect := range suspects {
		t.addQuery(out, suspect)
	}
	return out
}

// updateStatuses sets every member's status, forgets those that ended long ago,
// and returns the suspects.
func (t *Table) updateStatuses(now time.Time) []Ask {
	var suspects []Ask
	for host, e := range t.members {
		silence := now.Sub(e.lastSeenAt)
		switch {
		case e.record.Ended:
			if now.Sub(e.endedAt) > t.timing.ForgetAfter {
				delete(t.members, host)
				t.digestValid = false
			}
		case silence > t.timing.DeadAfter:
			t.end(e, now, false)
		case silence > t.timing.SuspectAfter || e.linkLost:
			e.status = Suspect
			suspects = append(suspects, Ask{Host: host, Incarnation: e.record.Incarnation})
		default:
			e.status = Alive
		}
	}
	slices.SortFunc(suspects, func(a, b Ask) int { return cmp.Compare(a.Host, b.Host) })
	return suspects
}

// pendingRecords returns the changed records that are still to be sent.
func (t *Table) pendingRecords() []Record {
	var records []Record
	if t.announcementsLeft > 0 {
		t.announcementsLeft--
		records = append(records, t.self)
	}
	for _, e := range t.members {
		if e.announcementsLeft > 0 && len(records) < maxRecords {
			e.announcementsLeft--
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return records
}

// addQuery adds a query about a suspect to the gossips for a few random neighbors.
func (t *Table) addQuery(out []Envelope, suspect Ask) {
	queried := 0
	for _, i := range t.random.Perm(len(out)) {
		if out[i].To == suspect.Host || queried == queriesPerSuspect {
			continue
		}
		out[i].Gossip.Asks = append(out[i].Gossip.Asks, suspect)
		queried++
	}
}

// Receive processes a gossip and returns the answer, if there is one.
func (t *Table) Receive(now time.Time, gossip *Gossip) (Gossip, bool) {
	for _, record := range gossip.Records {
		t.Merge(now, record)
	}
	var answer Gossip
	if !t.RecordHeartbeat(now, gossip.From) {
		t.handleUnknownIncarnation(now, gossip.From, &answer)
	}
	for _, a := range gossip.Answers {
		// An age can't be negative; a malformed one counts as old.
		if a.Age >= 0 {
			t.RecordHeartbeat(now.Add(-a.Age), a.Beat)
		}
	}
	for _, ask := range gossip.Asks {
		t.answer(now, ask, &answer)
	}
	t.compareDigest(gossip, &answer)
	answer.From = Heartbeat{Host: t.self.Host, Incarnation: t.self.Incarnation}
	answer.Digest = t.digest()
	return answer, len(answer.Records)+len(answer.Answers) > 0
}

// handleUnknownIncarnation handles a sender whose incarnation is unknown or has
// ended: it sends the current record to a stale sender, and admits a new one.
func (t *Table) handleUnknownIncarnation(now time.Time, heartbeat Heartbeat, answer *Gossip) {
	e := t.members[heartbeat.Host]
	if heartbeat.Host == t.self.Host {
		return
	}
	if e != nil && heartbeat.Incarnation <= e.record.Incarnation {
		answer.Records = append(answer.Records, e.record)
		return
	}
	record := Record{Host: heartbeat.Host, Incarnation: heartbeat.Incarnation}
	if e != nil {
		record.FailureDomain, record.Region, record.Address = e.record.FailureDomain, e.record.Region, e.record.Address
	}
	t.Merge(now, record)
	t.RecordHeartbeat(now, heartbeat)
}

// answer adds the newest heartbeat of a suspect and its age, if it is recent.
func (t *Table) answer(now time.Time, ask Ask, answer *Gossip) {
	e := t.members[ask.Host]
	if e == nil || e.record.Incarnation != ask.Incarnation || e.linkLost {
		return
	}
	age := now.Sub(e.lastSeenAt)
	if age > t.timing.SuspectAfter || e.record.Ended {
		return
	}
	heartbeat := Heartbeat{Host: ask.Host, Incarnation: ask.Incarnation, Revision: e.revision, HoldsRevision: e.holdsRevision}
	answer.Answers = append(answer.Answers, Answer{Beat: heartbeat, Age: age})
}

// compareDigest adds the whole table to the answer, at most maxRecords records,
// once the digests of digestMismatchLimit consecutive gossips of a sender differed.
func (t *Table) compareDigest(gossip *Gossip, answer *Gossip) {
	from := gossip.From.Host
	if gossip.Digest == t.digest() {
		delete(t.digestMismatches, from)
		return
	}
	t.digestMismatches[from]++
	if t.digestMismatches[from] < digestMismatchLimit {
		return
	}
	delete(t.digestMismatches, from)
	answer.Records = t.Records()
	if len(answer.Records) > maxRecords {
		answer.Records = answer.Records[:maxRecords]
	}
}

// digestMismatchLimit is how many consecutive digests of a sender differ before
// the whole table is sent.
const digestMismatchLimit = 2
