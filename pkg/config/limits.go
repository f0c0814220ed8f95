package config

// Limits bound what callers may send. Zero means the daemon's own setting.
type Limits struct {
	// BodyBytes limits the size of a request body.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes limits the size of a request header.
	HeaderBytes int64 `json:"headerBytes,omitempty"`
	// HeaderTimeout limits how long a caller may take to finish sending a
	// header or body.
	HeaderTimeout Duration `json:"headerTimeout,omitempty"`
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
}
