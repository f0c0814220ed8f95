package retry

// Capabilities are the kinds of retry that the request and its target permit.
type Capabilities struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Resumable reports whether the target keeps the answer as a stream, which
	// can be read again under the attempt's ID.
	Resumable bool
	// Continuable reports whether another target can continue the answer after
	// the part that the caller has. It implies Idempotent.
	Continuable bool
}

// cell holds the decisions for one phase and failure.
type cell struct {
	// idempotent and nonIdempotent apply if the target can't resume the stream.
	idempotent, nonIdempotent Decision
	// resumable and nonIdempotentResumable apply if the target can resume it.
	resumable, nonIdempotentResumable Decision
	// continuable applies if another target can continue the answer.
	continuable Decision
}

// Cells that several failures share. A decision that is not set is EndUnknown.
// notRunAgain applies if the target did not run the request, reconnect if the
// connection for a resume could not be made, and impossible to combinations that
// can't occur.
var (
	unsentAgain    = cell{idempotent: Again, nonIdempotent: Again, resumable: Again, nonIdempotentResumable: Again, continuable: Again}
	unsentEnd      = cell{idempotent: EndNotRun, nonIdempotent: EndNotRun, resumable: EndNotRun, nonIdempotentResumable: EndNotRun, continuable: EndNotRun}
	end            = cell{idempotent: EndUnknown, nonIdempotent: EndUnknown, resumable: EndUnknown, nonIdempotentResumable: EndUnknown}
	againOrEnd     = cell{idempotent: Again, nonIdempotent: EndUnknown, resumable: Again, nonIdempotentResumable: EndUnknown, continuable: Again}
	resumeOrAgain  = cell{idempotent: Again, nonIdempotent: EndUnknown, resumable: Resume, nonIdempotentResumable: Resume, continuable: Again}
	resumeOrEnd    = cell{idempotent: EndUnknown, nonIdempotent: EndUnknown, resumable: Resume, nonIdempotentResumable: Resume, continuable: Again}
	againOrForward = cell{idempotent: Again, nonIdempotent: Forward, resumable: Again, nonIdempotentResumable: Forward, continuable: Again}
	continueOrEnd  = cell{continuable: Again}
	notRunAgain    = unsentAgain
	impossible     = end
	reconnect      = resumeOrAgain
)

// sentDecisions holds the decisions once a byte of the request may have been sent.
// They stay the same after the response has begun, until a part of it was
// delivered to the caller.
var sentDecisions = [failures]cell{
	ConnectFailed:  reconnect,
	ConnectionLost: resumeOrAgain,
	Silence:        resumeOrAgain,
	Mismatch:       resumeOrAgain,
	Refused:        againOrForward,
	Rejected:       notRunAgain,
	StreamGone:     againOrEnd,
	TooLarge:       end,
	DeadlinePassed: end,
	CallerGone:     end,
}

// table holds the decision for every phase and failure. Combinations that can't
// occur end as unknown, which is correct whether or not the request ran.
var table = [phases][failures]cell{
	Unsent: {
		ConnectFailed:  unsentAgain,
		ConnectionLost: unsentAgain,
		Silence:        unsentAgain,
		Mismatch:       impossible,
		Refused:        impossible,
		Rejected:       impossible,
		StreamGone:     impossible,
		TooLarge:       impossible,
		DeadlinePassed: unsentEnd,
		CallerGone:     unsentEnd,
	},
	Sent:      sentDecisions,
	Answering: sentDecisions,
	Streaming: {
		ConnectFailed:  resumeOrEnd,
		ConnectionLost: resumeOrEnd,
		Silence:        resumeOrEnd,
		Mismatch:       resumeOrEnd,
		Refused:        continueOrEnd,
		Rejected:       continueOrEnd,
		StreamGone:     end,
		TooLarge:       end,
		DeadlinePassed: end,
		CallerGone:     end,
	},
}

// Decide returns the table's decision for one failed attempt.
func Decide(caps Capabilities, phase Phase, failure Failure) Decision {
	c := table[phase][failure]
	switch {
	case caps.Continuable:
		return c.continuable
	case caps.Idempotent && caps.Resumable:
		return c.resumable
	case caps.Idempotent:
		return c.idempotent
	case caps.Resumable:
		return c.nonIdempotentResumable
	}
	return c.nonIdempotent
}
