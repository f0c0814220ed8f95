package devmode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/daemon"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
	"amaranthplank.example/amaranthplank/pkg/standin/engine"
	"amaranthplank.example/amaranthplank/pkg/standin/ledger"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/standin/targets"
	"amaranthplank.example/amaranthplank/pkg/standin/usagesink"
)

const (
	// engines is how many model engines stand in.
	engines = 3
	// engineSlots is how many requests an engine runs at once.
	engineSlots = 16
	// tokenInterval is the pace of an engine's answers.
	tokenInterval = 20 * time.Millisecond
	// defaultTokens is the length of an answer that sets none.
	defaultTokens = 16
	// usageWindow is the length of a usage window.
	usageWindow = 10 * time.Second
	// usageGrace is how long after its end a window is closed.
	usageGrace = 2 * time.Second
	// loopback is the address that every part listens on.
	loopback = "127.0.0.1"
)

// Options shape a development run.
type Options struct {
	// Daemons is how many daemons run.
	Daemons int
	// Port is the first daemon's port; the others follow it.
	Port int
	Log  *slog.Logger
	// Out takes the key and the example commands.
	Out io.Writer
}

// Run runs the stand-ins and the daemons until ctx ends.
func Run(ctx context.Context, opts Options) error {
	group, ctx := errgroup.WithContext(ctx)
	store := memstore.New(clock.Boot{})
	key, err := seedConfiguration(ctx, store)
	if err != nil {
		return err
	}
	records, err := startTargets(ctx, group)
	if err != nil {
		return err
	}
	orderer := targets.New(records...)
	sink := usagesink.New()
	for i := range opts.Daemons {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, opts.Port+i))
		if err != nil {
			return err
		}
		host := ident.Host(fmt.Sprintf("host-%d", i+1))
		d := daemon.New(daemon.Options{
			Host: host, FailureDomain: domainOf(i), Log: opts.Log.With("host", host),
			Listener: listener, Store: store, Targets: orderer, Usage: sink,
			UsageWindow: usageWindow, UsageGrace: usageGrace,
		})
		group.Go(func() error { return d.Run(ctx) })
	}
	printExamples(opts.Out, fmt.Sprintf("http://%s:%d", loopback, opts.Port), key)
	return group.Wait()
}

// seedConfiguration writes the first configuration and returns the key of its
// workspace.
func seedConfiguration(ctx context.Context, store platform.Store) (string, error) {
	key := newKey()
	text := documentText(config.DigestKey(key))
	if _, err := config.Parse(text); err != nil {
		return "", err
	}
	_, err := store.CompareAndSwap(ctx, platform.Swap{Key: config.StoreKey, Base: platform.NoVersion, Value: text})
	return key, err
}

// startTargets starts the engines and the ledger and returns their records.
func startTargets(ctx context.Context, group *errgroup.Group) ([]platform.TargetRecord, error) {
	var records []platform.TargetRecord
	for i := range engines {
		name := ident.Target(fmt.Sprintf("engine-%d", i+1))
		handler := engine.New(engine.Options{
			Target: name, Model: devModel, TokenInterval: tokenInterval,
			Slots: engineSlots, DefaultTokens: defaultTokens, ChecksFencing: i%2 == 0,
		})
		address, err := serve(ctx, group, handler)
		if err != nil {
			return nil, err
		}
		records = append(records, platform.TargetRecord{
			Target: name, Address: address, FailureDomain: domainOf(i), Kind: platform.Dependable,
			Model: devModel, ChecksFencing: i%2 == 0,
		})
	}
	address, err := serve(ctx, group, ledger.New())
	if err != nil {
		return nil, err
	}
	return append(records, platform.TargetRecord{
		Target: "ledger-1", Address: address, FailureDomain: domainOf(0), Kind: platform.Dependable, Service: devService,
	}), nil
}

// serve serves a stand-in on a free port until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// domainOf spreads parts over the failure domains.
func domainOf(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", i%domains+1))
}

// domains is how many failure domains there are.
const domains = 4
