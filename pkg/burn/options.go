package burn

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options configure a Manager.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Store       external.Store
	Config      config.Source
	Log         *slog.Logger
	Registerer  prometheus.Registerer
	// CheckpointInterval is the interval between checkpoints.
	CheckpointInterval time.Duration
}

const (
	// defaultCheckpointInterval is the default of Options.CheckpointInterval.
	defaultCheckpointInterval = time.Minute
	// retainedPages is the number of hourly pages kept in the store: 72 for the
	// longest window, and the page in which it began.
	retainedPages = 73
	// flushTimeout bounds the final checkpoint at shutdown.
	flushTimeout = 2 * time.Second
)

// setDefaults sets the defaults of omitted options.
func (o *Options) setDefaults() {
	if o.CheckpointInterval == 0 {
		o.CheckpointInterval = defaultCheckpointInterval
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
