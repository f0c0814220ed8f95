package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["key"] = keyCase }

// keyCase sends requests in which a careless client names its key in a second header, and looks
// whether a replica is shown it.
func keyCase(w *world) int {
	w.configure(configText)
	var replicas []*replica
	for i := range 2 {
		r, err := w.addReplica(fmt.Sprintf("i-led%d", i+1), "ledger", "", 6)
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
	second := callerKey
	if !w.trouble {
		second = "nothing"
	}
	headers := []string{
		"Cookie: session=" + second, "Referer: https://" + shop + "/app?key=" + second,
		"X-Forwarded-Authorization: Token " + second, "X-Api-Key: " + second,
	}
	for i, extra := range headers {
		id := fmt.Sprintf("%016x", 0x2000+i)
		d := w.daemons[i%2]
		a := d.once("POST", "/post/adjust", shop, append(callerHeader(id, 3000), extra), "item=7&by=2", 3*time.Second)
		w.note("request %s with %q to %s: %s", id, extra, d.name, a)
		if a.err != nil {
			return unable
		}
	}
	verdict := held
	for _, r := range replicas {
		for _, a := range r.got() {
			for field, values := range a.header {
				if a.ran && strings.Contains(strings.Join(values, " "), callerKey) {
					w.note("BROKEN: %s runs %s and is shown the key in %s", r.id, a.id, field)
					verdict = broken
				}
			}
		}
	}
	return verdict
}
