package config

// Limits bound what callers may send. Zero takes what the daemon is run with.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes bounds a request's header.
	HeaderBytes int64 `json:"headerBytes,omitempty"`
	// HeaderTimeout bounds how long a caller takes to send a header or a body
	// that was begun.
	HeaderTimeout Duration `json:"headerTimeout,omitempty"`
	// IdleTimeout is how long a caller's connection may idle.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
}
