package retry

// Allowed is what the request and its target allow.
type Allowed struct {
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// Resumable says that the target holds the answer as a stream, which can
	// be read again under the attempt's id.
	Resumable bool
	// Continuable says that another target can go on with the answer after
	// the part that the caller has. It implies Idempotent.
	Continuable bool
}

// cell holds the decisions of one phase and failure.
type cell struct {
	// idempotent and once are for requests that are and are not idempotent.
	idempotent, once Decision
	// resumable and onceResumable are the same where the target can resume.
	resumable, onceResumable Decision
	// continuable is for requests that another target can go on with.
	continuable Decision
}

// Cells that several failures share.
var (
	unsentAgain  = cell{idempotent: Again, once: Again, resumable: Again, onceResumable: Again, continuable: Again}
	unsentEnd    = cell{idempotent: EndNotRun, once: EndNotRun, resumable: EndNotRun, onceResumable: EndNotRun, continuable: EndNotRun}
	end          = cell{idempotent: EndUnknown, once: EndUnknown, resumable: EndUnknown, onceResumable: EndUnknown}
	againOrEnd   = cell{idempotent: Again, once: EndUnknown, resumable: Again, onceResumable: EndUnknown, continuable: Again}
	resumeOr     = cell{idempotent: Again, once: EndUnknown, resumable: Resume, onceResumable: Resume, continuable: Again}
	resumeOrEnd  = cell{idempotent: EndUnknown, once: EndUnknown, resumable: Resume, onceResumable: Resume, continuable: Again}
	againOrOwn   = cell{idempotent: Again, once: HandOn, resumable: Again, onceResumable: HandOn, continuable: Again}
	continueOr   = cell{continuable: Again}
	notRunAgain  = unsentAgain
	cantHappen   = end
	connectAgain = resumeOr
)

// sent holds the decisions once a byte of the request may have left. That the
// answer has begun changes none of them until a part of it was handed on.
var sent = [failures]cell{
	ConnectFailed:  connectAgain,
	ConnectionLost: resumeOr,
	Silence:        resumeOr,
	Mismatch:       resumeOr,
	Refused:        againOrOwn,
	Rejected:       notRunAgain,
	StreamGone:     againOrEnd,
	TooLarge:       end,
	DeadlinePassed: end,
	CallerGone:     end,
}

// table holds the decision for every phase and failure. Combinations that can't
// come about end as unknown, which is never a wrong promise.
var table = [phases][failures]cell{
	Unsent: {
		ConnectFailed:  unsentAgain,
		ConnectionLost: unsentAgain,
		Silence:        unsentAgain,
		Mismatch:       cantHappen,
		Refused:        cantHappen,
		Rejected:       cantHappen,
		StreamGone:     cantHappen,
		TooLarge:       cantHappen,
		DeadlinePassed: unsentEnd,
		CallerGone:     unsentEnd,
	},
	Sent:      sent,
	Answering: sent,
	Streaming: {
		ConnectFailed:  resumeOrEnd,
		ConnectionLost: resumeOrEnd,
		Silence:        resumeOrEnd,
		Mismatch:       resumeOrEnd,
		Refused:        continueOr,
		Rejected:       continueOr,
		StreamGone:     end,
		TooLarge:       end,
		DeadlinePassed: end,
		CallerGone:     end,
	},
}

// Decide returns the table's decision for one failed attempt.
func Decide(allowed Allowed, phase Phase, failure Failure) Decision {
	c := table[phase][failure]
	switch {
	case allowed.Continuable:
		return c.continuable
	case allowed.Idempotent && allowed.Resumable:
		return c.resumable
	case allowed.Idempotent:
		return c.idempotent
	case allowed.Resumable:
		return c.onceResumable
	}
	return c.once
}
