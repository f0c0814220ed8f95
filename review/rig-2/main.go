package main

import (
	"fmt"
	"os"
	"time"
)

// The verdicts of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// longest is the longest time that a case may run.
const longest = 112 * time.Second

var cases = map[string]func(*world) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(unable)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	w.note("case %s, trouble %t", os.Args[1], w.trouble)
	time.AfterFunc(longest, func() {
		w.note("verdict %d: the case takes too long", unable)
		w.end()
		os.Exit(unable)
	})
	verdict := cases[os.Args[1]](w)
	w.note("verdict %d", verdict)
	w.end()
	fmt.Println("verdict", verdict)
	os.Exit(verdict)
}
