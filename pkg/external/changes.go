package external

// Changes is what a watch returns: the newest state of each key under the
// prefix that changed after the cursor it was asked from.
type Changes struct {
	Entries []Entry
	// Next is the cursor to ask from next.
	Next Cursor
	// Whole says that Entries are all keys under the prefix, so that keys
	// which are not among them are gone.
	Whole bool
}
