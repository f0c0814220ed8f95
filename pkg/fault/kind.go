package fault

// Kind says what sort of failure an error is. Callers branch on it.
type Kind string

// The kinds.
const (
	// Invalid means that the input can't be accepted as it stands.
	Invalid Kind = "invalid"
	// Unauthenticated means that no valid key came with a request.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden means that the key is valid but doesn't allow the request.
	Forbidden Kind = "forbidden"
	// NotFound means that the named thing does not exist.
	NotFound Kind = "not_found"
	// Conflict means that a compare-and-swap met another version.
	Conflict Kind = "conflict"
	// Limited means that a limit of the workspace or of the fleet is reached.
	Limited Kind = "limited"
	// Unavailable means that the other side could not be reached or refused
	// before taking effect. Nothing was done.
	Unavailable Kind = "unavailable"
	// Unknown means that an effect may or may not have taken place.
	Unknown Kind = "unknown"
	// Timeout means that a deadline passed before the work was done.
	Timeout Kind = "timeout"
	// Fenced means that the sender has lost its authority.
	Fenced Kind = "fenced"
	// TooLarge means that the input exceeds a bound on its size.
	TooLarge Kind = "too_large"
	// Internal means a defect of the system itself.
	Internal Kind = "internal"
)
