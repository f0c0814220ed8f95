package backlog

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/streamorigin"
	"amaranthplank.example/amaranthplank/pkg/targetlimit"
)

// Report is the message that daemons exchange.
type Report struct {
	// Time is the sender's tally.SteadyWallClock in Unix milliseconds. It is not set in
	// the report of a cell.
	Time int64
	// Outstanding holds the sums by target; targets without any are left out.
	Outstanding []Outstanding
	// Placed holds the prompts sent to targets since the last report, so that
	// other daemons route prompts with the same prefix there too.
	Placed []PlacedPrompt
	// Away holds the exclusions, under the name that the encoded message uses: the
	// targets that accept no requests for a while, such as those that change their
	// role.
	Away []Exclusion
	// Daemons is the number of daemons that a cell's report covers, and zero in a
	// report of the sender alone.
	Daemons int
	// Limits holds what targets state about the requests that they take from all hosts.
	Limits []targetlimit.Statement
	// Begun holds the streams that the sender has begun since the last report.
	Begun []streamorigin.Origins
	// Probed holds the results of probes of targets that refuse connections.
	Probed []ProbeResult
	// Times is a summary of how long work took at targets, as capacity.Book returns it.
	Times []byte
}

// ProbeResult is what a probe of a target that refuses connections showed.
type ProbeResult struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	// Accepted reports whether the target accepted the connection, and Refused whether its host
	// refused it, since no process listens there.
	Accepted, Refused bool
}

// Exclusion is a target that accepts no requests for a while.
type Exclusion struct {
	Target ident.Target
	// Millis is the duration, counted from the receipt of the report.
	Millis int64
	// Role, unless empty, limits the exclusion to daemons that know the target by that
	// role, since it has another one by now.
	Role fleet.Role
}

// PlacedPrompt is a prompt that was sent to a target and will stay in its cache for a
// while.
type PlacedPrompt struct {
	Target ident.Target
	// Blocks are the prompt's block hashes, as in request.Request.Prefix.
	Blocks []uint64
	// Millis is the expected time, counted from the receipt of the report, until
	// the target has computed the prompt and other targets can fetch it.
	Millis int64
}
