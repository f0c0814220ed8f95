package backlog

import "amaranthplank.example/amaranthplank/pkg/ident"

// Report is what a daemon tells the others.
type Report struct {
	// Time is the daemon's true time in milliseconds since 1970.
	Time int64
	// Outstanding are the daemon's sums, without empty ones.
	Outstanding []Outstanding
	// Placed are the prompts that it has sent to engines since its last report,
	// so that others send the like of them there too.
	Placed []Placed
	// Away are the engines that take nothing for a while, such as those that
	// change their role.
	Away []Away
	// Daemons is how many daemons the report is of where it is of a whole cell,
	// and zero where it is the sender's own.
	Daemons int
}

// Away is one engine that takes nothing for a while.
type Away struct {
	Target ident.Target
	// Millis is how long, from the report on.
	Millis int64
}

// Placed is one prompt that an engine was sent and will hold for a while.
type Placed struct {
	Target ident.Target
	// Blocks are the prompt's hashes as request.Request has them.
	Blocks []uint64
	// Millis is how long from the report on until the engine is expected to have
	// computed the prompt, so that others can fetch it.
	Millis int64
}
