package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// link is one open connection to a peer that has proved itself.
type link struct {
	manager     *Manager
	conn        *websocket.Conn
	host        ident.Host
	incarnation ident.Incarnation
	out         *outbox
	// cancel ends the link.
	cancel context.CancelFunc
}

// errSilent ends a link whose peer doesn't answer in time.
var errSilent = fault.New(fault.Timeout, "a peer did not answer in time", "see whether the host runs and can be reached")

// run carries messages until the link ends and returns why.
func (l *link) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.conn.CloseNow() })
	defer stop()
	group.Go(func() error { return l.read(ctx) })
	group.Go(func() error { return l.write(ctx) })
	group.Go(func() error { return l.ping(ctx) })
	return group.Wait()
}

// read hands the peer's messages to their handlers.
func (l *link) read(ctx context.Context) error {
	for {
		kind, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			return errMalformed
		}
		message, err := decodeFrame(data)
		if err != nil {
			return err
		}
		l.manager.deliver(l.host, message, len(data))
	}
}

// write sends what waits.
func (l *link) write(ctx context.Context) error {
	for {
		message, ok := l.out.pop()
		if !ok {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-l.out.ready:
			}
			continue
		}
		if err := l.send(ctx, message); err != nil {
			return err
		}
	}
}

// send writes one message within the deadline.
func (l *link) send(ctx context.Context, message Message) error {
	data, err := encodeFrame(message)
	if err != nil {
		return nil // Send has checked the size, so this is a defect of one message.
	}
	ctx, cancel := context.WithTimeout(ctx, l.manager.opts.PingTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	l.manager.metrics.sent.WithLabelValues(message.Kind.label()).Add(float64(len(data)))
	return nil
}

// ping ends the link when the peer is silent.
func (l *link) ping(ctx context.Context) error {
	ticker := time.NewTicker(l.manager.opts.PingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, l.manager.opts.PingTimeout)
		err := l.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return errSilent
		}
	}
}
