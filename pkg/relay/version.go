package relay

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// StreamOrigins holds the software versions that began streams.
type StreamOrigins interface {
	// Began records that a target of a software version writes the stream that a request began:
	// its first events, or the next ones for a caller that took it up.
	Began(pool ident.Pool, id ident.Request, version ident.SoftwareVersion)
	// Unrecorded returns the software versions at which no stream may begin yet.
	Unrecorded(pool ident.Pool) []ident.SoftwareVersion
	// Ended records that the stream of a request was answered whole.
	Ended(id ident.Request)
	// VersionOf returns the software version at which the request by takes up the stream
	// that another request began. It fails with kind Unavailable if the version is not known
	// soon; there is no stream that may continue at any version.
	VersionOf(ctx context.Context, pool ident.Pool, by, began ident.Request) (ident.SoftwareVersion, error)
}

// constraints returns what rules targets out for the next attempt: the excluded targets
// and, once the caller has a part of the stream, those of other software versions.
func (c *call) constraints(excluded []ident.Target) *routing.Constraints {
	constraints := &routing.Constraints{Exclude: excluded, Version: c.version.Load(), SpareRoom: c.late}
	if origins := c.relay.opts.StreamOrigins; origins != nil && c.req.Resumable && constraints.Version == nil {
		constraints.Avoid = origins.Unrecorded(c.req.Pool())
	}
	constraints.UnknownVersion = c.restartedTargets()
	return constraints
}

// restartedTargets returns the targets whose software version is not known, if it matters.
func (c *call) restartedTargets() []ident.Target {
	checker, ok := c.relay.opts.Router.(routing.ProcessChecker)
	if !ok || !c.req.Resumable {
		return nil
	}
	return checker.Restarted()
}

// looserConstraints returns the constraints for the next attempt from the strictest to the
// loosest. A target at which an attempt failed is better than none. So is, for a new stream, one
// whose version is not known: it continues nowhere else.
func (c *call) looserConstraints() []*routing.Constraints {
	strict := c.constraints(c.failedTargets)
	all := []*routing.Constraints{strict}
	if len(strict.Exclude) > 0 {
		looser := *strict
		looser.Exclude = nil
		all = append(all, &looser)
	}
	if strict.Version == nil && len(strict.UnknownVersion) > 0 {
		all = append(all, &routing.Constraints{Avoid: strict.Avoid, SpareRoom: strict.SpareRoom})
	}
	return all
}

// requireVersion binds a stream that the caller takes up again to the software version that
// began it.
func (c *call) requireVersion(ctx context.Context) error {
	origins := c.relay.opts.StreamOrigins
	if origins == nil || !c.takesUpStream() {
		return nil
	}
	version, err := origins.VersionOf(ctx, c.req.Pool(), c.req.ID, c.req.BegunBy)
	if err != nil {
		return err
	}
	c.version.Store(&version)
	return nil
}

// takesUpStream reports whether the caller has a part of the stream already.
func (c *call) takesUpStream() bool {
	return c.req.Resumable && c.req.LastEventID > 0
}

// fixVersion binds the stream to the software version of the attempt that wrote its first
// event, and records that it continues there.
func (a *attempt) fixVersion() {
	c := a.call
	if !c.req.Resumable || c.originNoted.Swap(true) {
		return
	}
	version := a.softwareVersion()
	c.version.Store(&version)
	origins := c.relay.opts.StreamOrigins
	if origins == nil {
		return
	}
	if began := c.begunBy(); began != "" {
		origins.Began(c.req.Pool(), began, version)
	}
}

// softwareVersion returns the version of the process that the attempt was sent to.
func (a *attempt) softwareVersion() ident.SoftwareVersion {
	checker, ok := a.call.relay.opts.Router.(routing.ProcessChecker)
	if ok && !checker.SameProcess(a.target, a.incarnation) {
		return ident.UnknownVersion
	}
	return a.record.SoftwareVersion
}

// reportLostConnection reports a connection that broke after the request was sent.
func (c *call) reportLostConnection(a *attempt, err error) {
	checker, ok := c.relay.opts.Router.(routing.ProcessChecker)
	if ok && err != nil && a.phase != retry.Unsent && failureOf(err) == retry.ConnectionLost {
		checker.ObserveLostConnection(a.target, a.incarnation, a.address)
	}
}

// checkVersion returns an error if no target can continue the stream, since the version that
// began it is not known.
func (c *call) checkVersion() error {
	if version := c.version.Load(); version != nil && *version == ident.UnknownVersion {
		return errVersionUnknown
	}
	return nil
}

// errVersionUnknown ends a stream that broke off at a target whose process may be another one than
// that which wrote the target's entry.
var errVersionUnknown = fault.New(fault.Unavailable, "it is not known which software version began the stream",
	"send the request again without the events received so far")

// begunBy returns the request that began the stream.
func (c *call) begunBy() ident.Request {
	if c.takesUpStream() {
		return c.req.BegunBy
	}
	return c.req.ID
}

// recordEnd records that the caller has the whole stream.
func (c *call) recordEnd() {
	origins := c.relay.opts.StreamOrigins
	if origins != nil && c.req.Resumable && c.result.Outcome == request.Answered {
		origins.Ended(c.begunBy())
	}
}
