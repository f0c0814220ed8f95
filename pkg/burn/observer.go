package burn

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Observer is an entry.Observer that passes completed requests to a recorder.
type Observer struct {
	Recorder Recorder
}

var _ entry.Observer = Observer{}

// Observe records a completed request, unless its caller canceled it.
func (o Observer) Observe(observation entry.Observation) {
	if observation.CallerGone {
		return
	}
	o.Recorder.Record(Event{
		Workspace: observation.Workspace, Route: observation.Route, At: time.Now(),
		Answered:   observation.Outcome == request.Answered,
		FirstToken: observation.FirstPart, TokenGap: observation.TokenGap(),
		Deadline: observation.HasDeadline, InTime: observation.InTime,
	})
}
