package membership

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Member is a daemon's view of one other daemon.
type Member struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Incarnation   ident.Incarnation
	Status        Status
	// Address is where the daemon accepts links, or empty if it isn't known. Table
	// leaves it empty.
	Address string
	// LastSeenAt is the time of the member's last heartbeat, received directly or
	// through others, on this daemon's clock.
	LastSeenAt time.Time
	// Revision and HoldsRevision are the control state that the member has
	// loaded; zero means that it has loaded none.
	Revision      ident.Revision
	HoldsRevision ident.Revision
}
