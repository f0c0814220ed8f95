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
	// tailVersion is the format of the tail's messages.
	tailVersion uint8 = 1
	// acksLimit bounds the acknowledgements that wait.
	acksLimit = 64
	// tailChunks bounds the chunks of one message.
	tailChunks = 256
)

// sendTail sends the peer the chunks that it has not confirmed, in one message.
func (s *Source) sendTail() {
	if s.opts.Mesh == nil || s.opts.View == nil {
		return
	}
	for _, keeper := range keepers(s.opts.Host, s.opts.FailureDomain, s.opts.View.Members()) {
		message, ok := s.tail(keeper)
		if !ok {
			return
		}
		payload, err := encode(&message)
		if err != nil {
			s.opts.Log.Error("a usage tail was not encoded", "error", err)
			return
		}
		err = s.opts.Mesh.Send(keeper, peer.Message{Kind: peer.KindUsageTail, Version: tailVersion, Payload: payload})
		if err == nil {
			s.metrics.tailBytes.Add(float64(len(payload)))
			s.metrics.tailMessages.Inc()
			return
		}
	}
}

// tail returns the message for a keeper, or false where it keeps everything.
func (s *Source) tail(keeper ident.Host) (wireTail, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.cut()
	if s.keeper != keeper {
		s.keeper, s.acked = keeper, 0
	}
	message := wireTail{Source: s.state.id, Process: s.opts.Incarnation, Base: s.state.base}
	table := newNames()
	for _, chunk := range s.state.chunks {
		if chunk.To <= s.acked {
			continue
		}
		if len(message.Chunks) == tailChunks {
			break
		}
		message.Chunks = append(message.Chunks, wireBatch{
			Number: chunk.From, To: chunk.To, End: chunk.End, Lines: table.pack(chunk.Lines, chunk.End),
		})
	}
	message.Names = table.list
	return message, len(message.Chunks) > 0
}

// receiveAck queues a keeper's confirmation; a lost one is made up for by the
// next.
func (s *Source) receiveAck(from ident.Host, message peer.Message) {
	var ack wireAck
	if message.Version > tailVersion || peer.Decode(message.Payload, &ack) != nil {
		s.opts.Log.Debug("a usage confirmation was skipped", "peer", from)
		return
	}
	select {
	case s.acks <- ack:
	default:
	}
}

// takeAck notes what the keeper keeps.
func (s *Source) takeAck(ack wireAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ack.Source == s.state.id {
		s.acked = max(s.acked, ack.Through)
	}
}

// keepers returns the hosts that may keep a tail, the preferred one first:
// those in another failure domain that are alive, ranked by a hash, so that the
// tails spread evenly and move little when hosts come and go.
func keepers(self ident.Host, domain ident.FailureDomain, members []membership.Member) []ident.Host {
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
