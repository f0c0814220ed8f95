package devmode

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// hostListeners holds one daemon's host record and open listeners.
type hostListeners struct {
	record    external.HostRecord
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// openListeners opens the listeners of all daemons, so that the host list is complete
// before the first of them starts.
func openListeners(opts Options) ([]hostListeners, error) {
	listeners := make([]hostListeners, 0, opts.Daemons)
	for i := range opts.Daemons {
		l, err := openHostListeners(opts.Port+i, i)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// openHostListeners opens the listeners of the i-th daemon.
func openHostListeners(port, i int) (hostListeners, error) {
	var l hostListeners
	var err error
	if l.callers, err = net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port)); err != nil {
		return hostListeners{}, errors.Wrap(err, "listen for callers; choose another -dev-port")
	}
	if l.operators, err = net.Listen("tcp", loopback+":0"); err != nil {
		return hostListeners{}, errors.Wrap(err, "listen for operators")
	}
	if l.peers, err = net.Listen("tcp", loopback+":0"); err != nil {
		return hostListeners{}, errors.Wrap(err, "listen for peers")
	}
	l.record = external.HostRecord{
		Host: ident.Host(fmt.Sprintf("host-%d", i+1)), FailureDomain: failureDomainOf(i), Region: devRegion,
		PeerAddress: l.peers.Addr().String(),
	}
	return l, nil
}

// recordsOf returns the records of all hosts, for the host list.
func recordsOf(listeners []hostListeners) []external.HostRecord {
	records := make([]external.HostRecord, 0, len(listeners))
	for _, l := range listeners {
		records = append(records, l.record)
	}
	return records
}
