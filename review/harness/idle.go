package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// descriptorLimit is limits.fileDescriptors.
	descriptorLimit = 4100
	// idleOwnDescriptors is how many descriptors the script needs for each machine.
	idleOwnDescriptors = 5500
	// idleRate is the number of users that come to one machine in a second. Each sends one
	// request on a connection of its own, which it keeps.
	idleRate = 37
	// idleBurst is how many times as many users come in a burst, idleBurstFor how long that
	// lasts, idleBurstGap the time from one burst to the next and idleBursts their number.
	idleBurst    = 1.9
	idleBurstFor = 14 * time.Second
	idleBurstGap = 15 * time.Second
	idleBursts   = 2
	// idleFor is how long users come.
	idleFor = 96 * time.Second
	// idleTimeout is the route's timeoutMs, idleDeadline how long a user waits for the answer,
	// idleConnect how long for the connection.
	idleTimeout  = 800 * time.Millisecond
	idleDeadline = 1500 * time.Millisecond
	idleConnect  = time.Second
)

// limitDescriptors sets how many descriptors a process may have, as the platform does.
func limitDescriptors(pid, limit int) error {
	const noFile = 7
	value := struct{ soft, hard uint64 }{uint64(limit), uint64(limit)}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), noFile, uintptr(unsafe.Pointer(&value)), 0, 0, 0); errno != 0 {
		return errno
	}
	return nil
}

// descriptors counts the descriptors that a process has.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// idleRequest is one request of a user. The times count from when it was sent.
type idleRequest struct {
	sentAt   time.Time
	answered time.Duration
	status   int
}

// idleCase has users come to two machines, or to one if the script may have few descriptors. Each sends a request and keeps its connection, which
// stays idle. In bursts more users come.
func idleCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("", nil))
	for n := range 4 {
		if _, err := w.addReplica(replicaSpec{id: fmt.Sprintf("i-%08x", 0xa1+n), service: "ledger", zone: string(rune('a' + n%2)), version: "v1", slots: 6, work: 15 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	// The users' ends of the connections, and the replicas' and the store's, are in this process.
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil {
		return false, err
	}
	machines := min(2, int(own.Cur)/idleOwnDescriptors)
	if machines == 0 {
		return false, fmt.Errorf("the script may have %d descriptors and needs %d", own.Cur, idleOwnDescriptors)
	}
	if err := w.addGateways(program, cloudAddress, machines); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	for _, g := range w.gateways {
		if err := limitDescriptors(g.process.Process.Pid, descriptorLimit); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var conns []net.Conn
	requests := make([][]*idleRequest, len(w.gateways))
	closedByMachine := 0
	user := func(m int) {
		g, id := w.gateways[m], w.newID()
		r := &idleRequest{sentAt: time.Now()}
		mu.Lock()
		requests[m] = append(requests[m], r)
		mu.Unlock()
		conn, err := net.DialTimeout("tcp", g.frontAddress(), idleConnect)
		if err != nil {
			w.rec.add("user of %s: no connection to %s: %v", id, g.name, err)
			return
		}
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		_ = conn.SetDeadline(r.sentAt.Add(idleDeadline))
		_, _ = fmt.Fprintf(conn, "GET /balance/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Token k1\r\n%s: %d\r\n\r\n",
			reviewHost, id, word("deadline"), idleDeadline.Milliseconds())
		in := bufio.NewReaderSize(conn, 1024)
		got, err := http.ReadResponse(in, nil)
		if err != nil {
			w.rec.add("user of %s: no answer from %s: %v", id, g.name, err)
			_ = conn.Close()
			return
		}
		_, err = io.Copy(io.Discard, got.Body)
		mu.Lock()
		r.answered, r.status = time.Since(r.sentAt), got.StatusCode
		mu.Unlock()
		w.rec.add("user of %s: status %d from %s after %v, %v", id, got.StatusCode, g.name, r.answered, err)
		if got.Close || err != nil {
			_ = conn.Close()
			return
		}
		// The connection stays idle until the machine closes it.
		_ = conn.SetDeadline(time.Time{})
		_, _ = in.ReadByte()
		_ = conn.Close()
		mu.Lock()
		closedByMachine++
		mu.Unlock()
	}
	began := time.Now()
	inBurst := func(at time.Duration) bool {
		return trouble && at < idleBursts*idleBurstGap && at%idleBurstGap < idleBurstFor
	}
	var arrivals sync.WaitGroup
	for m := range w.gateways {
		arrivals.Go(func() {
			for next := time.Duration(0); next < idleFor; {
				time.Sleep(time.Until(began.Add(next)))
				go user(m)
				gap := time.Second / idleRate
				if inBurst(next) {
					gap = time.Duration(float64(gap) / idleBurst)
				}
				next += gap
			}
		})
	}
	stop := make(chan struct{})
	go w.watchIdle(began, stop)
	arrivals.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for m, g := range w.gateways {
		answered, late, never, open := 0, 0, 0, ""
		for _, r := range requests[m] {
			switch {
			case r.status == http.StatusOK && r.answered <= idleTimeout:
				answered++
			case r.status != 0 && r.answered <= idleTimeout+500*time.Millisecond:
				late++
			default:
				never++
				if open == "" {
					open = fmt.Sprintf(", the first sent after %.1f s", r.sentAt.Sub(began).Seconds())
				}
			}
		}
		w.rec.say("%s: of %d requests, %d are answered within timeoutMs, %d later or refused, %d have no answer half a second after it%s",
			g.name, len(requests[m]), answered, late, never, open)
		broken = broken || never > late && never >= 20
	}
	w.rec.say("%d idle connections were closed by a machine", closedByMachine)
	for _, conn := range conns {
		_ = conn.Close()
	}
	return broken, nil
}

// watchIdle records each machine's descriptors, and what it says of its readiness on a kept
// connection.
func (w *world) watchIdle(began time.Time, stop chan struct{}) {
	client := http.Client{Timeout: 900 * time.Millisecond}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		var text []string
		for _, g := range w.gateways {
			ready := "no answer"
			if response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", g.address, g.ready)); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				ready = fmt.Sprint(response.StatusCode)
			}
			text = append(text, fmt.Sprintf("%s has %d descriptors, readiness %s", g.name, descriptors(g.process.Process.Pid), ready))
		}
		w.rec.add("%.0f s: %s", time.Since(began).Seconds(), strings.Join(text, "; "))
	}
}
