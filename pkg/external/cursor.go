package external

// Cursor is a position in the store's change history.
type Cursor uint64

// StartCursor precedes every change, so that a watch from it returns the current
// state immediately.
const StartCursor Cursor = 0
