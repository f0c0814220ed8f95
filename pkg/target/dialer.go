package target

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 2 * time.Second
	// userTimeout is how long sent bytes may remain unacknowledged before the kernel
	// closes the connection.
	userTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the TCP keep-alive
	// probes, which detect a lost peer while nothing is sent.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// UndeliveredFor is how long what was written to a connection of NewDialer may still reach the
// other end after its path was cut, whatever becomes of the connection: userTimeout and a
// margin for the kernel's timers and the network's delay.
const UndeliveredFor = userTimeout + 500*time.Millisecond

// NewDialer returns a dialer whose connections fail if the other end stops
// acknowledging data or keep-alive probes.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
