package entry

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/overload"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// Options configures a Handler.
type Options struct {
	// Format is the request and response format; nil means CompletionsFormat.
	Format    Format
	Config    config.Source
	Admission admission.Controller
	Relay     *relay.Relay
	Recorder  usage.Recorder
	Log       *slog.Logger
	// Registerer registers the metrics; if nil, they are not registered.
	Registerer prometheus.Registerer
	// Ready returns an error while the daemon must not serve requests, for
	// example because its configuration may be out of date. A nil Ready means
	// always ready.
	Ready func() error
	// TimeLeft returns how much time requests have until the process is killed, or
	// false if it is not known to be. A request that may take longer is refused. A nil
	// TimeLeft means that the process is never killed.
	TimeLeft func() (time.Duration, bool)
	// BalancerAway reports whether the balancer sends a stopping daemon no more requests.
	// Nil means that it may always do.
	BalancerAway func() bool
	// Claims makes a request with an idempotency key run at most once in the
	// fleet. If nil, idempotency keys are left to the targets.
	Claims *claims.Registry
	// Observer is called at the end of each relayed request; it may be nil.
	Observer Observer
	// MaxBodyBytes is the maximum size of a request body, unless the
	// configuration sets one.
	MaxBodyBytes int64
	// Overload bounds what requests hold. Those beyond it are refused. A nil Overload sets no bound.
	Overload *overload.Budget
	// BodyTimeout bounds how long a caller takes to send the body; zero means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a write to a caller that does not read may
	// block; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
}

const (
	// DefaultBodyTimeout is the default of Options.BodyTimeout.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultWriteTimeout is the default of Options.WriteTimeout.
	DefaultWriteTimeout = 30 * time.Second
)

// bodyLimits returns the limits on the size and read time of a body. A size limit
// in the configuration takes precedence over MaxBodyBytes.
func (o *Options) bodyLimits(snapshot *config.Snapshot) (bytes int64, timeout time.Duration) {
	bytes, timeout = o.MaxBodyBytes, o.BodyTimeout
	if limits := &snapshot.Document.Limits; limits.BodyBytes > 0 {
		bytes = limits.BodyBytes
	}
	return bytes, timeout
}

// withDefaults returns the options with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.BodyTimeout == 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.Format == nil {
		o.Format = CompletionsFormat{}
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	if o.BalancerAway == nil {
		o.BalancerAway = func() bool { return false }
	}
	if o.TimeLeft == nil {
		o.TimeLeft = func() (time.Duration, bool) { return 0, false }
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return o
}
