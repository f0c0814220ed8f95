package ctl

import (
	"io"
	"net/http"
)

// Env is what a command works with.
type Env struct {
	Out io.Writer
	Err io.Writer
	// Client reaches the daemons' operator address.
	Client *http.Client
}
