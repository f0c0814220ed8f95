package external

// Cursor is a place in the store's history of changes.
type Cursor uint64

// StartCursor stands before every change, so that a watch from there returns
// the present state at once.
const StartCursor Cursor = 0
