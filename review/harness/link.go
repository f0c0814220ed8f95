package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the path of one machine to one server, as TCP shows it. While it is cut, no bytes
// arrive. What the machine sends then is sent again by its kernel 0.2, 0.6, 1.4 and 3.0 s
// after the first try, and arrives with the first of these that the link carries. The kernel
// gives up after userTimeout, the TCP_USER_TIMEOUT that the system sets (3 s, counted from
// the first repetition). Bytes that are held up are lost if the machine resets the connection.
type link struct {
	rec    *record
	name   string
	server string

	mu       sync.Mutex
	cut      bool
	healedAt time.Time
	changed  chan struct{}
	conns    map[net.Conn]bool
	listener net.Listener
}

const (
	// firstRepeat is the kernel's first pause before it sends again, and each further pause is
	// twice as long.
	firstRepeat = 200 * time.Millisecond
	userTimeout = 3 * time.Second
)

func newLink(rec *record, name, server string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{rec: rec, name: name, server: server, changed: make(chan struct{}), conns: map[net.Conn]bool{}, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setCut cuts or heals the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		l.healedAt = time.Now()
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns whether the link is cut, when it last healed, and what is closed at its next
// change.
func (l *link) state() (cut bool, healedAt time.Time, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.healedAt, l.changed
}

// close ends the link and its connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
}

// carry carries one connection. One that is opened while the link is cut never opens: the
// machine gives it up before its kernel tries again.
func (l *link) carry(machine net.Conn) {
	l.track(machine)
	if cut, _, _ := l.state(); cut {
		_, _ = io.Copy(io.Discard, machine)
		_ = machine.Close()
		return
	}
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		_ = machine.Close()
		return
	}
	l.track(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(machine, server, false)
		_ = machine.Close()
	}()
	l.copy(server, machine, true)
	_ = server.Close()
	<-done
}

// piece is what was read at a time, or the end of the connection.
type piece struct {
	at    time.Time
	bytes []byte
	err   error
}

// copy carries the bytes of one direction. Those of the machine are given up after userTimeout.
func (l *link) copy(to, from net.Conn, fromMachine bool) {
	pieces := make(chan piece, 1024)
	reset := make(chan struct{})
	go func() {
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{at: time.Now(), bytes: buffer[:n]}
			}
			if err != nil {
				if errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}
				pieces <- piece{at: time.Now(), err: err}
				return
			}
		}
	}()
	for each := range pieces {
		if !l.await(each.at, fromMachine, reset) || each.err != nil {
			return
		}
		if _, err := to.Write(each.bytes); err != nil {
			return
		}
	}
}

// await waits until bytes that were first sent at the given time arrive. It reports false if
// they never do.
func (l *link) await(sent time.Time, fromMachine bool, reset chan struct{}) bool {
	cut, healedAt, changed := l.state()
	if !cut && !sent.Before(healedAt) {
		return true
	}
	for cut {
		select {
		case <-changed:
		case <-reset:
			return false
		}
		cut, healedAt, changed = l.state()
	}
	pause, next := firstRepeat, sent.Add(firstRepeat)
	for next.Before(healedAt) {
		pause *= 2
		next = next.Add(pause)
	}
	if fromMachine && next.Sub(sent.Add(firstRepeat)) >= userTimeout {
		return false
	}
	select {
	case <-time.After(time.Until(next)):
		return true
	case <-reset:
		return false
	}
}
