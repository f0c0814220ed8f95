package entry

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// Options are what a Handler works with.
type Options struct {
	// Format is the callers'; nil means Completions.
	Format    Format
	Config    config.Source
	Admission admission.Controller
	Relay     *relay.Relay
	Recorder  usage.Recorder
	Log       *slog.Logger
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
	// Ready returns why the daemon may serve nobody at present, such as a
	// configuration that may be out of date. Nil means that it always may.
	Ready func() error
	// Claims make requests with idempotency keys run once in the fleet. Nil
	// leaves the keys to the targets.
	Claims *claims.Registry
	// Observer is told of each request's end; it may be nil.
	Observer Observer
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// BodyTimeout bounds how long a caller takes to send the body; zero means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a caller may leave a part of the answer
	// unread; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
}

const (
	// DefaultBodyTimeout is the bound on sending a body.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultWriteTimeout is the bound on leaving a part of an answer unread.
	DefaultWriteTimeout = 30 * time.Second
)

// bodyLimits returns the bounds on a body that are in force: the operators',
// where they set any.
func (o *Options) bodyLimits(snapshot *config.Snapshot) (bytes int64, timeout time.Duration) {
	bytes, timeout = o.MaxBodyBytes, o.BodyTimeout
	if limits := &snapshot.Document.Limits; limits.BodyBytes > 0 {
		bytes = limits.BodyBytes
	}
	return bytes, timeout
}

// withDefaults fills what was left out.
func (o Options) withDefaults() Options {
	if o.BodyTimeout == 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.Format == nil {
		o.Format = Completions{}
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return o
}
