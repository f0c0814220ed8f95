package kvmove

import (
	"context"
	"time"

	"github.com/google/uuid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/supply"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Sender sends orders to engines; target.Control implements it.
type Sender interface {
	// Send sends an order once.
	Send(ctx context.Context, engine external.TargetRecord, order target.Order) error
}

// Mover decides which streams must leave their engines, and has their KV caches
// copied.
type Mover struct {
	View   fleet.View
	Sender Sender
	Knobs  func(model ident.Model) *config.SupplyKnobs
}

var _ relay.StreamMover = (*Mover)(nil)

// MustMove reports whether the engine will be reclaimed before the stream is
// expected to end.
func (m *Mover) MustMove(engine ident.Target, model ident.Model, end, _ time.Time) bool {
	state := m.View.Snapshot().Target(engine)
	if state == nil || !state.Record.Leaving {
		return false
	}
	return supply.MustMove(end, state.Record.LeaveBy, m.Knobs(model))
}

// CopyKVCache orders one engine to export an attempt's KV cache and the other to
// import it. Both orders belong to the attempt and carry no fencing token,
// because they change nothing that another order could conflict with.
func (m *Mover) CopyKVCache(ctx context.Context, attempt ident.Attempt, from, to *external.TargetRecord) error {
	exportOrder := target.Order{OrderID: uuid.NewString(), Kind: target.OrderExport, Attempt: attempt, Peer: to.Address}
	if err := m.Sender.Send(ctx, *from, exportOrder); err != nil {
		return err
	}
	importOrder := target.Order{OrderID: uuid.NewString(), Kind: target.OrderImport, Attempt: attempt, Peer: from.Address}
	return m.Sender.Send(ctx, *to, importOrder)
}
