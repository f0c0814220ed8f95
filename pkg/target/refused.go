package target

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// Refused reports whether an exchange failed because the target's host refused the
// connection: no process listens at the address. A connection that is accepted and then
// reset is no refusal, since a target also ends those beyond its limit.
func Refused(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}
