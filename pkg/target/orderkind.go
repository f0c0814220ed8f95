package target

// OrderKind says what an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad loads a model's version.
	OrderLoad OrderKind = "load"
	// OrderAdapter loads an adapter.
	OrderAdapter OrderKind = "adapter"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
	// OrderExport and OrderImport move a request's KV cache.
	OrderExport OrderKind = "export"
	OrderImport OrderKind = "import"
)
