package daemon

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// works returns the work of every duty that there is at present.
func (d *Daemon) works() map[ident.Duty]lease.Work {
	return map[ident.Duty]lease.Work{}
}
