package routing

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Results is what a router implements that learns from how attempts went.
type Results interface {
	// Result tells whether the target answered an attempt. Attempts that
	// ended for the caller's reasons are not told.
	Result(req *request.Request, target ident.Target, answered bool)
}

var _ Results = (*ByKind)(nil)

// Result tells the services' router, which ejects failing replicas.
func (b *ByKind) Result(req *request.Request, target ident.Target, answered bool) {
	if req.Service != "" {
		b.Services.Result(target, answered)
	}
}
