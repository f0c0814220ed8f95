package platform

// Changes is what a watch returns: the newest state of each key under the
// prefix that changed after the cursor it was asked from.
type Changes struct {
	Entries []Entry
	// Next is the cursor to ask from next.
	Next Cursor
}
