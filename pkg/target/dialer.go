package target

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// userTimeout is how long sent bytes may stay without acknowledgement
	// before the connection is given up.
	userTimeout = 3 * time.Second
	// probeIdle, probeInterval and probeCount find a connection whose other
	// end is gone while nothing is sent.
	probeIdle     = 5 * time.Second
	probeInterval = 2 * time.Second
	probeCount    = 3
)

// NewDialer returns a dialer whose connections end when the other side is silent
// at the transport.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
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
