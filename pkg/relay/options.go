package relay

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/bytebudget"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
	"amaranthplank.example/amaranthplank/pkg/waitlist"
)

// Options configures a Relay.
type Options struct {
	Router routing.Router
	Client *target.Client
	Config config.Source
	// StreamMover moves streams off engines that are reclaimed. If nil, streams
	// stay where they are.
	StreamMover StreamMover
	// Protocol is the protocol of the targets; nil means EngineProtocol without a
	// credential.
	Protocol Protocol
	// MarkComplete marks an answer as complete before its header is written, if
	// the whole answer was read from the target first. It may be nil.
	MarkComplete func(w http.ResponseWriter)
	// OnRun is called with a request's workspace once per request: at the first
	// stream event or unary response from a target that did not reject the
	// request. It may be nil.
	OnRun func(workspace ident.Workspace)
	// RetryBudget returns the key of the budget from which a request's retries
	// are taken, and this process's share of it. If nil, each route has a budget
	// configured by its knobs, which is full at the start.
	RetryBudget func(req *request.Request) (key string, share retry.Share)
	// CrashGuard refuses requests that crash targets. It may be nil.
	CrashGuard CrashGuard
	// StreamOrigins holds the software versions that began streams. If nil, a stream that
	// a caller takes up again may continue at any version.
	StreamOrigins StreamOrigins
	// Waiting holds requests of models until there is room for them. If nil, a request
	// that no engine takes in time is refused immediately.
	Waiting *waitlist.Waiter
	// Memory bounds the bytes of responses that are held before they are forwarded, of all
	// requests together. Nil sets no bound.
	Memory *bytebudget.Budget
	// Ending returns a context that is canceled shortly before the process is killed. All
	// requests whose answer has not begun end with it, so that they are answered. Nil means
	// that the process is never killed.
	Ending func() context.Context
	// Log may be nil.
	Log *slog.Logger
	// Registerer registers the metrics; if nil, they are not registered.
	Registerer prometheus.Registerer
}
