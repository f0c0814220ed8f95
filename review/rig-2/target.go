package main

import (
	_ "embed"
	"fmt"
	"time"
)

//go:embed config.json
var configText string

const (
	shop      = "shop.example"
	callerKey = "2b9wu3fexd9dnn2ctnfz"
)

// callerHeader is the header of a caller's request.
func callerHeader(id string, deadlineMs int) []string {
	return []string{"X-Request-Id: " + id, "Authorization: Token " + callerKey, fmt.Sprintf("%s: %d", name("deadline"), deadlineMs)}
}

func init() { cases["target"] = targetCase }

// targetCase sends requests whose targets are written as a client may write them.
func targetCase(w *world) int {
	w.configure(configText)
	var replicas []*replica
	for i := 1; i <= 2; i++ {
		r, err := w.addReplica(fmt.Sprintf("i-led%d", i), "ledger", "", 6)
		if err != nil {
			return unable
		}
		replicas = append(replicas, r)
	}
	w.addDaemon("")
	w.addDaemon("")
	if !w.startAll() {
		return unable
	}
	time.Sleep(3500 * time.Millisecond)
	targets := []string{"/post/adjust?item=rice%232&by=-40", "/post/caf%C3%A9?by=1", "/post/a%7Cb?by=1", "/post/%7Bid%7D?by=1"}
	if w.trouble {
		targets = []string{"/post/adjust?item=rice#2&by=-40", "/post/caf\xc3\xa9?by=1", "/post/a|b?by=1", "/post/{id}?by=1"}
	}
	sent := map[string]string{}
	verdict := held
	for i, target := range targets {
		id := fmt.Sprintf("%016x", 0x1000+i)
		sent[id] = target
		a := w.daemons[i%2].once("POST", target, shop, callerHeader(id, 3000), "", 3*time.Second)
		w.note("request %s for %q to %s: %s", id, target, w.daemons[i%2].name, a)
		if a.err != nil {
			verdict = unable
		}
	}
	for _, r := range replicas {
		for _, a := range r.got() {
			if a.ran && sent[a.id] != a.target {
				w.note("BROKEN: %s ran %s with target %q, sent was %q", r.id, a.id, a.target, sent[a.id])
				verdict = broken
			}
		}
	}
	return verdict
}
