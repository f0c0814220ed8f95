package devmode

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// slot holds one daemon's host record and its open listeners.
type slot struct {
	record    external.HostRecord
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// openSlots opens the listeners of all daemons, so that the host list is complete
// before the first of them starts.
func openSlots(opts Options) ([]slot, error) {
	slots := make([]slot, 0, opts.Daemons)
	for i := range opts.Daemons {
		s, err := openSlot(opts.Port+i, i)
		if err != nil {
			return nil, err
		}
		slots = append(slots, s)
	}
	return slots, nil
}

// openSlot opens the listeners of the i-th daemon.
func openSlot(port, i int) (slot, error) {
	var s slot
	var err error
	if s.callers, err = net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port)); err != nil {
		return slot{}, errors.Wrap(err, "listen for callers; choose another -dev-port")
	}
	if s.operators, err = net.Listen("tcp", loopback+":0"); err != nil {
		return slot{}, errors.Wrap(err, "listen for operators")
	}
	if s.peers, err = net.Listen("tcp", loopback+":0"); err != nil {
		return slot{}, errors.Wrap(err, "listen for peers")
	}
	s.record = external.HostRecord{
		Host: ident.Host(fmt.Sprintf("host-%d", i+1)), FailureDomain: failureDomainOf(i), Region: devRegion,
		PeerAddress: s.peers.Addr().String(),
	}
	return s, nil
}

// recordsOf returns the slots' records for the host list.
func recordsOf(slots []slot) []external.HostRecord {
	records := make([]external.HostRecord, 0, len(slots))
	for _, s := range slots {
		records = append(records, s.record)
	}
	return records
}
