package gateway

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/poison"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// poisonParts are the components that refuse requests which crash targets.
type poisonParts struct {
	detector *poison.Detector
	exchange *poison.Exchange
	copy     *poison.StoreCopy
	records  *poison.Records
}

// newPoisonParts creates the components. runLinks adds the links later.
func (g *Gateway) newPoisonParts() poisonParts {
	p := poisonParts{}
	p.detector = poison.New(poison.Options{
		Now: g.time.Now, Incarnation: g.incarnationOf, Dial: target.NewDialer().DialContext,
		Send: func(e *poison.Evidence) { p.exchange.Send(e) }, Log: g.opts.Log, Registerer: g.registry,
		Keep:    func(e *poison.Evidence, d time.Duration) { p.copy.Keep(e, d) },
		Process: fmt.Sprint(g.opts.Host, "/", g.incarnation),
	})
	p.records = poison.NewRecords(p.detector, g.opts.Store)
	p.copy = poison.NewStoreCopy(g.opts.Host, g.opts.Store, p.detector.Receive, g.opts.Log)
	p.exchange = poison.NewExchange(p.detector.Receive, p.copy.Add, g.opts.Log)
	return p
}

// runPoisonParts runs the components until ctx ends.
func (g *Gateway) runPoisonParts(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.poison.copy.Run(ctx) })
	group.Go(func() error { return g.poison.records.Run(ctx) })
	group.Go(func() error { return g.poison.exchange.Run(ctx, g.poison.detector.SuspectEvidence) })
	group.Go(func() error { return g.poison.detector.Run(ctx) })
	return group.Wait()
}

// incarnationOf returns the current incarnation of a target, or false if the target
// is not known.
func (g *Gateway) incarnationOf(name ident.Target) (ident.Incarnation, bool) {
	state := g.targets.Snapshot().Target(name)
	if state == nil {
		return 0, false
	}
	return state.Incarnation, true
}
