package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Request targets below the route's prefix: of sound clients, and of clients that the users don't
// control, which escape nothing.
var (
	soundTargets  = []string{"adjust?item=7%23&amount=5", "adjust?item=a%7Cb", "a%7Cb", "a%7Bb%7D", "caf%C3%A9", "%22a%22", "a%5Eb", "adjust?"}
	otherTargets  = []string{"adjust?item=7#&amount=5", "adjust?item=a|b", "a|b", "a{b}", "caf\u00e9", "\"a\"", "a^b", "adjust#?item=7"}
	targetsPrefix = "/adjust/"
)

// paths sends requests that must not be repeated and compares the request targets that the replicas run.
func paths(w *world) (int, error) {
	for i := range 2 {
		if err := w.addReplica(&replica{service: "app"}, fmt.Sprintf("i-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	w.configure()
	if err := w.startDaemons(1); err != nil {
		return 2, err
	}
	time.Sleep(contactTime + time.Second)
	changed, ran := 0, 0
	targets := append([]string{}, soundTargets...)
	if troubled() {
		targets = append(targets, otherTargets...)
	}
	for i, rest := range targets {
		id, target := fmt.Sprintf("p-%d", i), targetsPrefix+rest
		status := w.raw(w.daemons[0], fmt.Sprintf("POST %s HTTP/1.1\r\nHost: rig.example\r\nX-Request-Id: %s\r\nAuthorization: Token %s\r\n%s: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", target, id, w.key, word("deadline")))
		got := w.rec.target(id)
		word := "unchanged"
		switch {
		case got == "":
			word = "not run"
		case got != target:
			word, changed, ran = "CHANGED", changed+1, ran+1
		default:
			ran++
		}
		w.rec.note("request %s is sent with %q, answered %d; the replica runs %q: %s", id, target, status, got, word)
	}
	return w.verdict(changed > 0, "%d of %d requests that ran had another path or query than the client sent", changed, ran), nil
}

// raw sends bytes to a daemon and returns the answer's status, or zero.
func (w *world) raw(d *daemon, text string) int {
	conn, err := net.Dial("tcp", d.front())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(busyTimeout))
	_, _ = conn.Write([]byte(text))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}
