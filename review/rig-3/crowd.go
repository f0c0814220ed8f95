package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of the case of a crowd of clients that come back at once.
const (
	crowdClients  = 3000
	crowdPause    = 20 * time.Millisecond
	crowdBefore   = 3 * time.Second
	crowdTime     = 20 * time.Second
	ordinaryPause = 200 * time.Millisecond
	ordinaryTries = 2
	// otherFiles are the descriptors that this program needs besides those of the crowd.
	otherFiles = 300
)

// crowd has clients with a valid key send requests without a pause, each over one connection that it opens
// again when it is closed. Beside them a few ordinary clients send requests to another service. With STRANGERS
// set the crowd has no valid key.
func crowd(w *world) (int, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < crowdClients+otherFiles {
		return 2, fmt.Errorf("the case needs %d descriptors, and may have %d", crowdClients+otherFiles, files.Cur)
	}
	for i := range 2 {
		if err := w.addReplica(&replica{service: "app"}, fmt.Sprintf("i-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	for i := range 4 {
		if err := w.addReplica(&replica{service: "llm", stage: "decode", pause: 80 * time.Millisecond}, fmt.Sprintf("e-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	w.configure()
	if err := w.startDaemons(1); err != nil {
		return 2, err
	}
	time.Sleep(contactTime + time.Second)
	var counts crowdCounts
	if troubled() {
		key := w.key
		if os.Getenv("STRANGERS") != "" {
			key = "no-key"
		}
		for i := range crowdClients {
			go w.pester(&counts, key, i)
		}
	}
	time.Sleep(crowdBefore)
	until := time.Now().Add(crowdTime)
	var all sync.WaitGroup
	var asked, served atomic.Int64
	for n, kept := range []bool{false, true, false, true} {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
			for i := 0; time.Now().Before(until); i++ {
				asked.Add(1)
				if w.askOrdinary(client, fmt.Sprintf("o-%d-%d", n, i)) {
					served.Add(1)
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	all.Wait()
	w.rec.note("crowd: %d connections opened, %d requests answered with 200, %d otherwise, %d connections closed without an answer",
		counts.opened.Load(), counts.whole.Load(), counts.refused.Load(), counts.closed.Load())
	alive := w.ready(w.daemons[0])
	w.rec.note("the daemon is ready: %t", alive)
	return w.verdict(4*served.Load() < asked.Load(), "%d of %d requests of ordinary clients are answered", served.Load(), asked.Load()), nil
}

// crowdCounts count what the crowd saw.
type crowdCounts struct{ opened, whole, refused, closed atomic.Int64 }

// pester is one client of the crowd.
func (w *world) pester(counts *crowdCounts, key string, client int) {
	for request := 0; ; {
		conn, err := net.Dial("tcp", w.daemons[0].front())
		if err == nil {
			counts.opened.Add(1)
			answers := bufio.NewReader(conn)
			for w.pesterOnce(counts, conn, answers, key, client, request) {
				request++
				time.Sleep(crowdPause)
			}
			request++
			_ = conn.Close()
		}
		time.Sleep(crowdPause)
	}
}

// pesterOnce sends one request and reads its answer. It reports whether the connection may be used again.
func (w *world) pesterOnce(counts *crowdCounts, conn net.Conn, answers *bufio.Reader, key string, client, request int) bool {
	_, _ = fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: rig.example\r\nX-Request-Id: c-%d-%d\r\nAuthorization: Token %s\r\n%s: 5000\r\nX-Model: m\r\n%s: 60,800\r\n%s: 5c1e07a2:80,%x:20\r\nContent-Length: 0\r\n\r\n",
		client, request, key, word("deadline"), word("tokens"), word("prompt"), client)
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		counts.closed.Add(1)
		return false
	}
	if answer.StatusCode == http.StatusOK {
		counts.whole.Add(1)
	} else {
		counts.refused.Add(1)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && !answer.Close
}

// askOrdinary sends a request of an ordinary client, which tries once more within its deadline, and
// reports whether it was served.
func (w *world) askOrdinary(client *http.Client, id string) bool {
	deadline := time.Now().Add(1500 * time.Millisecond)
	for try := range ordinaryTries {
		time.Sleep(time.Duration(try) * 50 * time.Millisecond)
		request, err := http.NewRequest(http.MethodGet, "http://"+w.daemons[0].front()+"/read/x", nil)
		if err != nil {
			return false
		}
		request.Host = "rig.example"
		request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", id, try))
		request.Header.Set("Authorization", "Token "+w.key)
		request.Header.Set(word("deadline"), fmt.Sprint(max(1, time.Until(deadline).Milliseconds())))
		answer, err := client.Do(request)
		if err != nil {
			w.rec.note("request %s-%d: %v", id, try, err)
			continue
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		w.rec.note("request %s-%d is answered: %d, %v", id, try, answer.StatusCode, err)
		if err == nil && answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
