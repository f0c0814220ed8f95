package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRepeatedStopCutsNothing sends SIGTERM twice and then SIGINT. It guards against
// cutting running requests because the platform repeats its request to stop.
func TestRepeatedStopCutsNothing(t *testing.T) {
	aborted := make(chan struct{}, 1)
	stop := watchSignals(func() { aborted <- struct{}{} })
	must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-stop
	must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	select {
	case <-aborted:
		t.Fatal("the second SIGTERM aborts running requests")
	case <-time.After(300 * time.Millisecond):
	}
	must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGINT))
	<-aborted
}
