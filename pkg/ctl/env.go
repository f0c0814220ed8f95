package ctl

import (
	"io"
	"net/http"
)

// Env is the environment that a command runs in: its output streams and HTTP
// client.
type Env struct {
	Out io.Writer
	Err io.Writer
	// Client sends requests to the daemons' operator addresses.
	Client *http.Client
}
