package external

import "amaranthplank.example/amaranthplank/pkg/fault"

// Errors of the store. Compare with errors.Is, which compares kind and reason. The
// HTTP adapter rebuilds them from the kind and reason in a response, so a changed
// reason breaks the comparison between different versions.
var (
	// ErrKeyNotFound is returned if the key does not exist.
	ErrKeyNotFound = fault.New(fault.NotFound, "the store has no such key", "create the key first")
	// ErrVersionConflict is returned if the key is at another version.
	ErrVersionConflict = fault.New(fault.Conflict, "the key stands at another version", "read the key again before deciding on another write")
	// ErrLeaseNotFound is returned if the lease has expired or was revoked.
	ErrLeaseNotFound = fault.New(fault.Fenced, "the lease has lapsed", "acquire the duty again")
	// ErrStoreUnavailable is returned if the call had no effect.
	ErrStoreUnavailable = fault.New(fault.Unavailable, "the store can't be reached", "try again later")
	// ErrStoreUnknown is returned if the write may have taken effect.
	ErrStoreUnknown = fault.New(fault.Unknown, "the store's answer was lost", "read the key back before writing again")
	// ErrHistoryGone is returned if the changes after a cursor are no longer kept.
	ErrHistoryGone = fault.New(fault.NotFound, "the store's history after the cursor is gone", "watch from StartCursor")
	// ErrHistoryTooLarge is returned if the changes after a cursor take more bytes than
	// the caller accepts.
	ErrHistoryTooLarge = fault.New(fault.Limited, "the changes after the cursor exceed the caller's limit", "watch from StartCursor")
	// ErrStoreThrottled is returned if the store rejected the call because of its rate
	// limit.
	ErrStoreThrottled = fault.New(fault.Limited, "the store's call rate is used up", "back off and try again")
)
