package presenceprobe

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// probeTimeout bounds the time to connect.
const probeTimeout = time.Second

// Prober makes the probes of a source.
type Prober struct {
	source routing.ProbeSource
	dial   target.Dial
}

// New returns a prober that connects with dial.
func New(source routing.ProbeSource, dial target.Dial) *Prober {
	return &Prober{source: source, dial: dial}
}

// Run makes the probes when they are due, until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Stop()
		if wait, ok := p.source.NextProbe(); ok {
			timer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.source.ProbesChanged():
		case <-timer.C:
		}
		for _, probe := range p.source.TakeProbes() {
			go p.probe(ctx, probe)
		}
	}
}

// lostDelays are the times, each after the one before, at which a target that has accepted a
// connection after one was lost is probed again: a process that ends may close its connections
// shortly before its listener.
var lostDelays = [...]time.Duration{20 * time.Millisecond, 100 * time.Millisecond}

// probe makes the connections of one probe.
func (p *Prober) probe(ctx context.Context, probe routing.Probe) {
	err := p.connect(ctx, probe.Address)
	for _, delay := range lostDelays {
		if probe.Lost && err == nil {
			clock.Sleep(ctx, delay)
			err = p.connect(ctx, probe.Address)
		}
	}
	probe.Refused = target.Refused(err)
	p.source.ObserveProbe(probe, err == nil)
}

// connect makes one connection and closes it.
func (p *Prober) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}
