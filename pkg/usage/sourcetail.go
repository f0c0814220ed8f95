package usage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// tailVersion is the format version of tail and acknowledgment messages.
	tailVersion uint8 = 1
	// ackQueueSize bounds the queued acknowledgments.
	ackQueueSize = 64
	// maxChunksPerMessage bounds the chunks of one tail message.
	maxChunksPerMessage = 256
)

// sendTail sends the chunks that are not yet acknowledged, in one message, to
// the first candidate that can be reached.
func (s *Source) sendTail() {
	if s.opts.Mesh == nil || s.opts.View == nil {
		return
	}
	for _, replica := range replicaCandidates(s.opts.Host, s.opts.FailureDomain, s.opts.View.Members()) {
		message, ok := s.nextTailMessage(replica)
		if !ok {
			return
		}
		payload, err := encode(&message)
		if err != nil {
			s.opts.Log.Error("failed to encode usage tail", "error", err)
			return
		}
		err = s.opts.Mesh.Send(replica, peer.Message{Kind: peer.KindUsageTail, Version: tailVersion, Payload: payload})
		if err == nil {
			s.metrics.tailBytes.Add(float64(len(payload)))
			s.metrics.tailMessages.Inc()
			return
		}
	}
}

// nextTailMessage returns the next message for a replica, or false if it has
// acknowledged all chunks.
func (s *Source) nextTailMessage(replica ident.Host) (wireTail, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.cutChunk()
	if s.replicaHost != replica {
		s.replicaHost, s.acked = replica, 0
	}
	message := wireTail{Source: s.state.id, Process: s.opts.Incarnation, Base: s.state.storedThrough}
	table := newNameTable()
	for _, chunk := range s.state.chunks {
		if chunk.To <= s.acked {
			continue
		}
		if len(message.Chunks) == maxChunksPerMessage {
			break
		}
		message.Chunks = append(message.Chunks, wireBatch{
			Number: chunk.From, To: chunk.To, End: chunk.End, Lines: table.packLines(chunk.Lines, chunk.End),
		})
	}
	message.Names = table.list
	return message, len(message.Chunks) > 0
}

// receiveAck queues an acknowledgment. If the queue is full, it is dropped; the
// next one supersedes it.
func (s *Source) receiveAck(from ident.Host, message peer.Message) {
	var ack wireAck
	if message.Version > tailVersion || peer.Decode(message.Payload, &ack) != nil {
		s.opts.Log.Debug("usage tail acknowledgment ignored: malformed or of a newer version", "peer", from)
		return
	}
	select {
	case s.acks <- ack:
	default:
	}
}

// applyAck records the last record that the peer has acknowledged.
func (s *Source) applyAck(ack wireAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ack.Source == s.state.id {
		s.acked = max(s.acked, ack.Through)
	}
}

// replicaCandidates returns the hosts that may hold the replica of a tail, in
// order of preference: the live members of other failure domains, ranked by
// rendezvous hashing. This spreads the tails evenly and moves few of them when
// hosts join or leave.
func replicaCandidates(self ident.Host, domain ident.FailureDomain, members []membership.Member) []ident.Host {
	var hosts []ident.Host
	for _, member := range members {
		if member.Status == membership.Alive && member.FailureDomain != domain {
			hosts = append(hosts, member.Host)
		}
	}
	rank := func(host ident.Host) uint64 { return xxhash.Sum64String(string(self) + "/" + string(host)) }
	slices.SortFunc(hosts, func(a, b ident.Host) int { return cmp.Compare(rank(a), rank(b)) })
	return hosts
}
