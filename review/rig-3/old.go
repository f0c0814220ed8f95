package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of clients that speak HTTP/1.0.
const (
	oldReplicas = 7
	oldPause    = 50 * time.Millisecond
	oldBefore   = 4 * time.Second
)

// old has one replica of seven crash while clients that speak HTTP/1.0 read streams that may not be resumed.
// With HTTP11 set they speak HTTP/1.1.
func old(w *world) (int, error) {
	for i := range oldReplicas {
		r := &replica{service: "llm", stage: "decode", pause: 80 * time.Millisecond}
		if err := w.addReplica(r, fmt.Sprintf("i-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	w.configure()
	if err := w.startDaemons(1); err != nil {
		return 2, err
	}
	time.Sleep(contactTime + 2*time.Second)
	end := make(chan struct{})
	var all sync.WaitGroup
	var sent, whole, failed, early atomic.Int64
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(oldPause):
			}
			all.Go(func() {
				sent.Add(1)
				status, events, ended := w.readOld(w.daemons[0], fmt.Sprintf("o-%d", i))
				switch {
				case status != http.StatusOK || !ended:
					failed.Add(1)
				case events == streamSize:
					whole.Add(1)
				default:
					early.Add(1)
				}
			})
		}
	})
	time.Sleep(oldBefore)
	if troubled() {
		w.decoding().crash()
	}
	time.Sleep(oldBefore)
	close(end)
	all.Wait()
	return w.verdict(early.Load() > 0, "%d answers of %d end early and look complete; %d are whole, %d failed or are seen to have been broken off",
		early.Load(), sent.Load(), whole.Load(), failed.Load()), nil
}

// readOld sends one request and reads its answer to the end. It returns the status, the number of events
// and whether the answer ended as the protocol has it.
func (w *world) readOld(d *daemon, id string) (status, events int, ended bool) {
	conn, err := net.Dial("tcp", d.front())
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(busyTimeout))
	protocol := "HTTP/1.0"
	if os.Getenv("HTTP11") != "" {
		protocol = "HTTP/1.1"
	}
	w.rec.note("request %s is sent to %s", id, d.name)
	_, _ = fmt.Fprintf(conn, "POST /once-stream/x %s\r\nHost: rig.example\r\nX-Request-Id: %s\r\nAuthorization: Token %s\r\n%s: 5000\r\nX-Model: m\r\n%s: 60,800\r\n%s: 5c1e07a2:80,%s:20\r\nContent-Length: 0\r\n\r\n",
		protocol, id, w.key, word("deadline"), word("tokens"), word("prompt"), fmt.Sprintf("%x", id))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.rec.note("request %s: %v", id, err)
		return 0, 0, false
	}
	data, ended := readEvents(answer.Body, 0)
	_ = answer.Body.Close()
	w.rec.note("request %s is answered: %s %d, length %d, codings %v, %d events, ended %t", id, answer.Proto, answer.StatusCode, answer.ContentLength, answer.TransferEncoding, len(data), ended)
	return answer.StatusCode, len(data), ended
}
