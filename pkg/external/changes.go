package external

// Changes is the result of a watch: the latest state of each key under the prefix
// that changed after the given cursor.
type Changes struct {
	Entries []Entry
	// Next is the cursor to pass to the next watch.
	Next Cursor
	// Whole is set if Entries is the complete list of the keys under the prefix,
	// so that any other key no longer exists.
	Whole bool
}
