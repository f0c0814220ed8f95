package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// childVariable tells the test program to run as the child of a test.
const childVariable = "AMARANTHPLANK_TEST_CHILD"

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

// TestHangupDoesNotEndTheProcess sends SIGHUP to a process that reads no files. It guards
// against ending all requests of a process by a signal that only asks it to read its
// files again.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		os.Args = []string{"amaranthplank", "-dev", "-dev-port", "0"}
		main()
		return
	}
	child := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	child.Env = append(os.Environ(), childVariable+"=1")
	output, err := child.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, child.Start())
	_, err = output.Read(make([]byte, 1))
	must.NoError(t, err, must.Sprint("the process did not start"))
	must.NoError(t, child.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, child.Process.Signal(syscall.SIGTERM))
	go func() { _, _ = output.Read(make([]byte, 1<<16)) }()
	must.NoError(t, child.Wait())
}
