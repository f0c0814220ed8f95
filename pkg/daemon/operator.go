package daemon

import (
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/operator"
)

// newOperator returns the handler of the operators' address.
func (d *Daemon) newOperator() http.Handler {
	server := operator.New(d.registry, d.ready)
	server.Handle("POST /v1/drain", d.callers.StopEndpoint(), operator.NoRequest)
	server.Handle("GET /v1/drain", d.callers.StatusEndpoint(), operator.NoRequest)
	server.Handle("GET /v1/burn", d.burnEndpoint, operator.NoRequest)
	return server
}
