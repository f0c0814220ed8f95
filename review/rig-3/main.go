// Command rig3 plays the cases of the third review as processes on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is the time after which a case ends without a result.
const longestCase = 110 * time.Second

// troubled reports whether the case's disruption takes place.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func(w *world) (int, error){"reborn": reborn, "old": old, "crowd": crowd, "keys": keys, "restarts": restarts}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		os.Exit(2)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(longestCase):
		}
		w.stop()
		os.Exit(2)
	}()
	code, err := cases[os.Args[1]](w)
	w.stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		code = 2
	}
	os.Exit(code)
}
