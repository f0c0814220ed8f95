package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// link is an open connection to an authenticated peer.
type link struct {
	manager     *Manager
	conn        *websocket.Conn
	host        ident.Host
	incarnation ident.Incarnation
	out         *outbox
	// cancel ends the link.
	cancel context.CancelFunc
}

// errPingTimeout ends a link whose peer doesn't answer a ping in time.
var errPingTimeout = fault.New(fault.Timeout, "a peer did not answer a ping in time", "check that the host is running and reachable")

// run sends and receives messages until the link ends, and returns the reason.
func (l *link) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.conn.CloseNow() })
	defer stop()
	group.Go(func() error { return l.read(ctx) })
	group.Go(func() error { return l.write(ctx) })
	group.Go(func() error { return l.ping(ctx) })
	return group.Wait()
}

// read passes the peer's messages to their handlers.
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

// write sends the queued messages.
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

// send writes one message within PingTimeout.
func (l *link) send(ctx context.Context, message Message) error {
	data, err := encodeFrame(message)
	if err != nil {
		return nil // Skips the message. Manager.Send has checked the size, so other messages are unaffected.
	}
	ctx, cancel := context.WithTimeout(ctx, l.manager.opts.PingTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	l.manager.metrics.sent.WithLabelValues(message.Kind.label()).Add(float64(len(data)))
	return nil
}

// ping pings the peer regularly and returns an error if it doesn't answer in time.
func (l *link) ping(ctx context.Context) error {
	ticker := time.NewTicker(l.manager.opts.PingInterval)
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
			return errPingTimeout
		}
	}
}
