package external

import "amaranthplank.example/amaranthplank/pkg/fault"

// Errors of the store. Compare with errors.Is.
var (
	// ErrKeyNotFound says that the key does not exist.
	ErrKeyNotFound = fault.New(fault.NotFound, "the store has no such key", "create the key first")
	// ErrVersionConflict says that the key stands at another version.
	ErrVersionConflict = fault.New(fault.Conflict, "the key stands at another version", "read the key again and decide anew")
	// ErrLeaseNotFound says that the lease has lapsed or was revoked.
	ErrLeaseNotFound = fault.New(fault.Fenced, "the lease has lapsed", "acquire the duty anew")
	// ErrStoreUnavailable says that the store did nothing.
	ErrStoreUnavailable = fault.New(fault.Unavailable, "the store can't be reached", "try again later")
	// ErrStoreUnknown says that the store may have taken the write.
	ErrStoreUnknown = fault.New(fault.Unknown, "the store's answer was lost", "read the key back before writing again")
	// ErrHistoryGone says that the changes after a cursor are not kept any more.
	ErrHistoryGone = fault.New(fault.NotFound, "the store's history after the cursor is gone", "watch from StartCursor")
	// ErrStoreThrottled says that the store refused the call for its rate.
	ErrStoreThrottled = fault.New(fault.Limited, "the store's call rate is used up", "back off and try again")
)
