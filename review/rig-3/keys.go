package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// keysRounds is how often each request is sent.
const keysRounds = 3

// keys sends requests of a client that names its key a second time, in another header, and looks for the key
// in what the replicas get.
func keys(w *world) (int, error) {
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
	headers := map[string]string{
		"Cookie": "session=" + w.key, "X-Api-Key": w.key, "Referer": "http://rig.example/page?key=" + w.key, "X-Forwarded-Authorization": "Token " + w.key,
	}
	sent, shown := 0, 0
	for round := range keysRounds {
		for name, value := range headers {
			c := call{id: fmt.Sprintf("k-%s-%d", strings.ToLower(name), round), path: "/read/x", body: "b", prompt: "1:1"}
			if troubled() {
				c.header = http.Header{name: {value}}
			}
			got := w.send(w.daemons[0], c)
			sent++
			if found := w.rec.shownIn(c.id); found != "" {
				shown++
				w.rec.note("request %s, answered %d: the replica that runs it is shown the key in %s", c.id, got.status, found)
			}
		}
	}
	return w.verdict(shown > 0, "the replica was shown the key in %d of %d requests", shown, sent), nil
}

// keyIn returns the header in which a request shows a key, or the empty text.
func keyIn(q *http.Request, key string) string {
	for name, values := range q.Header {
		if strings.Contains(strings.Join(values, " "), key) {
			return name
		}
	}
	return ""
}
