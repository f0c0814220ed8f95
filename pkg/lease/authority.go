package lease

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Authority is the right to act as the holder of a duty. It may end at any
// moment.
type Authority interface {
	// Duty returns the held duty.
	Duty() ident.Duty
	// Fencing returns the fencing token to send with every effect.
	Fencing() ident.FencingToken
	// Check fails with ErrLost unless the duty is certain to be held now. It is called
	// immediately before each write to the store; Call does so before other effects.
	Check() error
	// Call makes one call to another system with this authority. It fails with ErrLost
	// without a call if Check does, else with the error of send. An error of kind Unknown
	// or without a kind means that the call may still take effect.
	Call(ctx context.Context, send func(ctx context.Context) error) error
}

// authorityKey is the key of the authority in the context of a call.
type authorityKey struct{}

// CheckCall fails with ErrLost if ctx is that of a call whose authority has ended. A client
// calls it as late as possible before it sends the call.
func CheckCall(ctx context.Context) error {
	if authority, ok := ctx.Value(authorityKey{}).(Authority); ok {
		return authority.Check()
	}
	return nil
}

// CallUnder checks an authority and makes a call whose context carries it, for Authority.Call.
func CallUnder(ctx context.Context, authority Authority, send func(ctx context.Context) error) error {
	if err := authority.Check(); err != nil {
		return err
	}
	return send(context.WithValue(ctx, authorityKey{}, authority))
}
