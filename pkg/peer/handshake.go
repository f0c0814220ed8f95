package peer

import (
	"context"

	"github.com/coder/websocket"
)

// dialHandshake proves both ends to each other from the dialing side.
func dialHandshake(ctx context.Context, conn *websocket.Conn, opts *Options) (hello, error) {
	mine := newHello(opts)
	if err := sendHandshake(ctx, conn, mine); err != nil {
		return hello{}, err
	}
	var theirs hello
	if err := readHandshake(ctx, conn, &theirs); err != nil {
		return hello{}, err
	}
	if err := theirs.check(opts.Host); err != nil {
		return hello{}, err
	}
	if err := verify(opts.Secret, acceptLabel, &mine, &theirs, theirs.Proof); err != nil {
		return hello{}, err
	}
	return theirs, sendHandshake(ctx, conn, proof{Proof: sign(opts.Secret, dialLabel, &mine, &theirs)})
}

// acceptHandshake proves both ends to each other from the accepting side.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, opts *Options) (hello, error) {
	var theirs hello
	if err := readHandshake(ctx, conn, &theirs); err != nil {
		return hello{}, err
	}
	if err := theirs.check(opts.Host); err != nil {
		return hello{}, err
	}
	mine := newHello(opts)
	mine.Proof = sign(opts.Secret, acceptLabel, &theirs, &mine)
	if err := sendHandshake(ctx, conn, mine); err != nil {
		return hello{}, err
	}
	var answer proof
	if err := readHandshake(ctx, conn, &answer); err != nil {
		return hello{}, err
	}
	return theirs, verify(opts.Secret, dialLabel, &theirs, &mine, answer.Proof)
}

// sendHandshake sends one message of the opening.
func sendHandshake(ctx context.Context, conn *websocket.Conn, value any) error {
	payload, err := EncodeCompact(value)
	if err != nil {
		return err
	}
	data, err := encodeFrame(Message{Kind: KindHello, Version: KnownVersion, Payload: payload})
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// readHandshake reads one message of the opening.
func readHandshake(ctx context.Context, conn *websocket.Conn, value any) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	message, err := decodeFrame(data)
	if err != nil {
		return err
	}
	if message.Kind != KindHello {
		return errMalformed
	}
	return Decode(message.Payload, value)
}
