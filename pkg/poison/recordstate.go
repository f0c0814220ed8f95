package poison

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// seen takes over a record that was read from the store. answered is when the request was
// last answered, in Unix milliseconds.
func (s *suspicions) seen(hash uint64, kept record, version external.Version, answered int64, now time.Time) {
	found := s.held[hash]
	if found == nil {
		found = &suspicion{record: kept, asked: kept.Kept}
		s.held[hash] = found
		s.limit(now, false)
	}
	found.stored, found.version = true, version
	found.At = max(found.At, kept.At)
	switch {
	case !found.cleared && answered > found.At:
		found.cleared = true
		s.schedule(found, now, false)
	case found.cleared:
		s.scheduleOnce(found, now)
	case found.Prober != "" && kept.Prober == "":
		// An older copy of the store does not know that the probe was sent.
		s.schedule(found, now, false)
	default:
		found.Prober, found.Kept = kept.Prober, max(found.Kept, kept.Kept)
		found.unwritten = found.Kept > kept.Kept && found.unwritten && found.asked-kept.Kept > refreshAfter.Milliseconds()
	}
}

// scheduleOnce has a record removed unless that is planned.
func (s *suspicions) scheduleOnce(found *suspicion, now time.Time) {
	if !found.unwritten {
		s.schedule(found, now, false)
	}
}

// removed takes over that a record was removed by another daemon.
func (s *suspicions) removed(hash uint64, now time.Time) {
	found := s.held[hash]
	if found == nil || !found.stored {
		return
	}
	found.stored, found.version = false, external.NoVersion
	if found.cleared || !found.unwritten {
		delete(s.held, hash)
		return
	}
	s.schedule(found, now, false)
}

// listed takes over which records the store has. Those that it lost by coming back from
// an older copy are written again; others were removed.
func (s *suspicions) listed(hashes map[uint64]bool, era external.Era, now time.Time) {
	for hash, found := range s.held {
		switch {
		case hashes[hash] || !found.stored:
		case found.cleared || found.version.Era() >= era:
			delete(s.held, hash)
		default:
			found.stored, found.version = false, external.NoVersion
			s.schedule(found, now, false)
		}
	}
}

// written takes over that a record was written at a version, or removed.
func (s *suspicions) written(hash uint64, kept record, version external.Version, now time.Time) {
	found := s.held[hash]
	if found == nil {
		return
	}
	if found.cleared && version == external.NoVersion {
		delete(s.held, hash)
		return
	}
	found.stored, found.version = version != external.NoVersion, version
	found.unwritten = found.cleared
	if found.record != kept && !found.cleared {
		s.schedule(found, now, true)
	}
}

// notWritten plans the next try after a write failed. If the record was there, another
// daemon has written it, and its version is read from the store.
func (s *suspicions) notWritten(hash uint64, exists bool, now time.Time) {
	found := s.held[hash]
	if found == nil {
		return
	}
	if exists && !found.stored && !found.cleared {
		found.stored, found.unwritten = true, false
		return
	}
	found.due = now.Add(writeRetryInterval).UnixMilli()
}

// probe is what a request that is refused may do to get out.
type probe int

const (
	// noProbe means that the request is refused.
	noProbe probe = iota
	// claimProbe means that the one probe may be claimed in the store.
	claimProbe
	// sendProbe means that it was claimed and not sent yet.
	sendProbe
)

// ask records that a request that is refused came, and returns whether it may be sent
// once more.
func (s *suspicions) ask(hash uint64, self string, now time.Time) probe {
	found := s.held[hash]
	found.asked = now.UnixMilli()
	if found.Prober == self && self != "" && !found.probed {
		found.probed = true
		return sendProbe
	}
	known := found.stored && found.version != external.NoVersion && !s.storeAway
	if found.Prober != "" || !known || now.UnixMilli()-found.At < probeAfter.Milliseconds() || now.UnixMilli() < found.claimAfter {
		return noProbe
	}
	found.claimAfter = now.Add(claimInterval).UnixMilli()
	return claimProbe
}

// claimed takes over that this process has claimed the probe, and sends it.
func (s *suspicions) claimed(hash uint64, kept record, version external.Version) bool {
	found := s.held[hash]
	if found == nil || found.cleared || found.probed {
		return false
	}
	found.record, found.version, found.stored, found.probed = kept, version, true, true
	return true
}
