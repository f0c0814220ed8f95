package target

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// TestDialerSetsTCPUserTimeout reads the option back from the kernel.
func TestDialerSetsTCPUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	c, err := NewDialer().DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { must.NoError(t, c.Close()) }()
	tcp, ok := c.(*net.TCPConn)
	must.True(t, ok)
	raw, err := tcp.SyscallConn()
	must.NoError(t, err)
	var millis int
	must.NoError(t, raw.Control(func(fd uintptr) {
		millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	must.NoError(t, err)
	must.Eq(t, int(userTimeout.Milliseconds()), millis)
}
