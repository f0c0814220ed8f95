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
	// Every is the interval between checkpoints.
	Every time.Duration
}

const (
	// defaultEvery is the default of Options.Every.
	defaultEvery = time.Minute
	// retainedPages is the number of hourly pages kept in the store: 72 for the
	// longest window, and the page in which it began.
	retainedPages = 73
	// flushTimeout bounds the final checkpoint at shutdown.
	flushTimeout = 2 * time.Second
)

// setDefaults sets the defaults of omitted options.
func (o *Options) setDefaults() {
	if o.Every == 0 {
		o.Every = defaultEvery
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
