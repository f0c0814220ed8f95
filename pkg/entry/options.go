package entry

import (
	"log/slog"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// Options are what a Handler works with.
type Options struct {
	Config    config.Source
	Admission admission.Controller
	Relay     *relay.Relay
	Recorder  usage.Recorder
	Log       *slog.Logger
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}
