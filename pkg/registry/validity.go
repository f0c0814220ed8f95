package registry

import (
	"net/netip"
	"unicode"
)

// maxSlots is the largest number of requests that a target may run at once. An entry with more
// is not a target's own: it would be preferred to all others.
const maxSlots = 1 << 16

// Valid reports whether the registration names a target that requests can be sent to: by a
// name that fits into a header, at an IP address and port, with a possible number of slots.
func (r *Registration) Valid() bool {
	address, err := netip.ParseAddrPort(r.Record.Address)
	if err != nil || address.Port() == 0 {
		return false
	}
	return r.Slots > 0 && r.Slots <= maxSlots && printable(string(r.Record.Target))
}

// printable reports whether a name consists of printable ASCII characters and is not empty.
func printable(name string) bool {
	for _, c := range name {
		if c > unicode.MaxASCII || !unicode.IsPrint(c) {
			return false
		}
	}
	return name != ""
}
