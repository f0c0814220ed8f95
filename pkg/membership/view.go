package membership

// View tells which daemons there are.
type View interface {
	// Members returns every known member but the daemon itself, by host.
	Members() []Member
}
