package target

// OrderKind is what an order instructs an engine to do.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad loads a version of a model.
	OrderLoad OrderKind = "load"
	// OrderAdapter loads an adapter.
	OrderAdapter OrderKind = "adapter"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
	// OrderExport and OrderImport copy an attempt's KV cache to and from another
	// engine.
	OrderExport OrderKind = "export"
	OrderImport OrderKind = "import"
)
