package burn

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options shape a Manager.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Store       external.Store
	Config      config.Source
	Log         *slog.Logger
	Registerer  prometheus.Registerer
	// Every is the time between checkpoints.
	Every time.Duration
}

const (
	// defaultEvery is the default of Options.Every.
	defaultEvery = time.Minute
	// keepPages is how many pages stay in the store: the longest window and
	// the page that it began in.
	keepPages = 73
	// flushTimeout bounds the last checkpoint of a graceful shutdown.
	flushTimeout = 2 * time.Second
)

// fill sets the options that were left out.
func (o *Options) fill() {
	if o.Every == 0 {
		o.Every = defaultEvery
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}
