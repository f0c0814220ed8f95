package fault

// Kind classifies an error.
type Kind string

const (
	// Invalid means that the input is not acceptable as it is.
	Invalid Kind = "invalid"
	// Unauthenticated means that the request carried no valid key.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden means that the key is valid but doesn't allow the request.
	Forbidden Kind = "forbidden"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict means that the request conflicts with the current state, for
	// example that a compare-and-swap found another version.
	Conflict Kind = "conflict"
	// Limited means that a limit of the workspace or of the fleet is reached.
	Limited Kind = "limited"
	// Unavailable means that the other side could not be reached, or that it
	// refused the request. Nothing was done.
	Unavailable Kind = "unavailable"
	// Unknown means that an effect may or may not have taken place.
	Unknown Kind = "unknown"
	// Timeout means that a deadline passed before the work was done.
	Timeout Kind = "timeout"
	// Fenced means that the sender no longer holds the duty or lease under which
	// it acted.
	Fenced Kind = "fenced"
	// TooLarge means that the input exceeds a size limit.
	TooLarge Kind = "too_large"
	// Internal means a defect of the system itself.
	Internal Kind = "internal"
)
