package target

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Order is the body of a POST to PathOrders: one order to an engine.
type Order struct {
	// OrderID is the same on every send of one order.
	OrderID string             `json:"orderId"`
	Fencing ident.FencingToken `json:"fencing"`
	Kind    OrderKind          `json:"kind"`
	Role    fleet.Role         `json:"role,omitempty"`
	Model   ident.Model        `json:"model,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
	Version string             `json:"version,omitempty"`
	// Peer is the address of the engine that a KV cache is copied to or from.
	Peer string `json:"peer,omitempty"`
	// Attempt is the attempt whose KV cache is copied.
	Attempt ident.Attempt `json:"attempt,omitempty"`
}
