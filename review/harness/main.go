// Command review-harness plays the scripts of the review: small stand-ins of the platform,
// replicas and clients around the project's own processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is how long a script may take.
const longestRun = 117 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns whether the rule was broken.
type scenario func(w *world, program, cloudAddress string, trouble bool) (broken bool, err error)

var scenarios = map[string]struct {
	play scenario
	// era is set if the store's answers bear an era.
	era bool
}{
	"holder":    {play: holderCase},
	"lowered":   {play: loweredCase},
	"forgotten": {play: forgottenCase},
	"plain":     {play: plainCase},
	"versions":  {play: versionsCase},
	"poison":    {play: poisonCase},
	"era":       {play: eraCase, era: true},
	"stop":      {play: stopCase},
	"blame":     {play: blameCase},
	"refused":   {play: refusedCase},
	"copy":      {play: copyCase, era: true},
	"patience":  {play: patienceCase},
	"memory":    {play: memoryCase},
	"parts":     {play: partsCase},
	"stages":    {play: stagesCase},
	"waiting":   {play: waitingCase},
	"idle":      {play: idleCase},
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/amaranthplank", "the daemon's file")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *out, os.Getenv("TROUBLE") != "0"))
}

func play(name, program, out string, trouble bool) int {
	chosen, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, cloudAddress, err := newWorld(rec, chosen.era)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	// Nothing that was started outlasts the script.
	giveUp := func(why string) {
		rec.say("the case could not run: %s", why)
		w.close()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(longestRun, func() { giveUp("it takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		giveUp("it was interrupted")
	}()
	broken, err := chosen.play(w, program, cloudAddress, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule is broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
