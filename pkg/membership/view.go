package membership

// View gives access to the known members.
type View interface {
	// Members returns every known member but the daemon itself. The order depends on
	// the implementation.
	Members() []Member
}
