package peer

import (
	"context"

	"github.com/coder/websocket"
)

// dialHandshake authenticates both ends to each other on the dialing side.
func dialHandshake(ctx context.Context, conn *websocket.Conn, opts *Options) (hello, error) {
	local := newHello(opts)
	if err := sendHandshake(ctx, conn, local); err != nil {
		return hello{}, err
	}
	var remote hello
	if err := readHandshake(ctx, conn, &remote); err != nil {
		return hello{}, err
	}
	if err := remote.validate(opts.Host); err != nil {
		return hello{}, err
	}
	if err := verify(opts.Secret, acceptLabel, &local, &remote, remote.Proof); err != nil {
		return hello{}, err
	}
	return remote, sendHandshake(ctx, conn, proof{Proof: sign(opts.Secret, dialLabel, &local, &remote)})
}

// acceptHandshake authenticates both ends to each other on the accepting side.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, opts *Options) (hello, error) {
	var remote hello
	if err := readHandshake(ctx, conn, &remote); err != nil {
		return hello{}, err
	}
	if err := remote.validate(opts.Host); err != nil {
		return hello{}, err
	}
	local := newHello(opts)
	local.Proof = sign(opts.Secret, acceptLabel, &remote, &local)
	if err := sendHandshake(ctx, conn, local); err != nil {
		return hello{}, err
	}
	var response proof
	if err := readHandshake(ctx, conn, &response); err != nil {
		return hello{}, err
	}
	return remote, verify(opts.Secret, dialLabel, &remote, &local, response.Proof)
}

// sendHandshake sends one message of the handshake.
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

// readHandshake reads one message of the handshake.
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
