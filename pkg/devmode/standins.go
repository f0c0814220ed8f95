package devmode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/engine"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/hosts"
	"amaranthplank.example/amaranthplank/pkg/standin/ledger"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/standin/platformserver"
	"amaranthplank.example/amaranthplank/pkg/standin/targets"
	"amaranthplank.example/amaranthplank/pkg/standin/usagesink"
	"amaranthplank.example/amaranthplank/pkg/standin/weights"
)

const (
	// engineCount is the number of stand-in engines.
	engineCount = 4
	// engineSlots is how many requests an engine runs concurrently.
	engineSlots = 64
	// tokenInterval is the time between the tokens that an engine generates.
	tokenInterval = 20 * time.Millisecond
	// prefillRate is the engines' prefill rate in tokens per second.
	prefillRate = 20000
	// defaultTokens is the output length of requests that set none.
	defaultTokens = 16
	// ledgerCount is the number of stand-in replicas of the ledger service.
	ledgerCount = 1
	// failureDomainCount is the number of failure domains.
	failureDomainCount = 4
	// hostListDelay is the time after which the host list shows a change.
	hostListDelay = 2 * time.Second
	// weightInterval is the minimum time between two loads of model weights.
	weightInterval = time.Second
	// storeWrites and storeReads limit the store's calls per second.
	storeWrites = 500
	storeReads  = 2000
	// changeTime is how long an engine is unavailable during a change.
	changeTime = 2 * time.Second
	// loopback is the address of all listeners.
	loopback = "127.0.0.1"
)

// standIns holds the stand-ins for the platform and the targets.
type standIns struct {
	store   *faultstore.Store
	targets *targets.Orderer
	usage   *usagesink.Sink
	hosts   *hosts.List
	weights *weights.Store
	// stopReclaimable holds functions that stop the reclaimable engines, by
	// failure domain.
	stopReclaimable map[ident.FailureDomain][]context.CancelFunc
	// key is the workspace key in the initial configuration.
	key string
}

// startStandIns starts the targets and writes the initial configuration.
func startStandIns(ctx context.Context, group *errgroup.Group) (*standIns, error) {
	s := &standIns{
		store:           faultstore.New(memstore.New(clock.Boot{})),
		usage:           usagesink.New(),
		weights:         weights.New(weightInterval),
		key:             newKey(),
		stopReclaimable: make(map[ident.FailureDomain][]context.CancelFunc),
	}
	s.setFaults(faultstore.Faults{})
	text := initialConfig(config.DigestKey(s.key))
	if _, err := config.Parse(text); err != nil {
		return nil, err
	}
	if _, err := s.store.CompareAndSwap(ctx, external.Swap{Key: config.StoreKey, Value: text}); err != nil {
		return nil, err
	}
	records, err := s.startTargets(ctx, group)
	if err != nil {
		return nil, err
	}
	s.targets = targets.New(records...)
	return s, nil
}

// setFaults sets the faults that the store injects, in addition to its rate limits.
func (s *standIns) setFaults(faults faultstore.Faults) {
	faults.WritesPerSecond = storeWrites
	faults.ReadsPerSecond = storeReads
	s.store.Set(faults)
}

// servePlatform serves the platform over HTTP and returns its base URL.
func (s *standIns) servePlatform(ctx context.Context, group *errgroup.Group, port int) (string, error) {
	handler := platformserver.New(platformserver.Systems{
		Store: s.store, Usage: s.usage, Targets: s.targets, Hosts: s.hosts, Weights: s.weights, Reports: s.usage.Reports,
		SetFaults: s.setFaults, SetHosts: s.hosts.Set, Reclaim: s.reclaim,
	})
	address, err := serve(ctx, group, port, handler)
	return "http://" + address, err
}

// reclaim announces the reclaim of a failure domain's reclaimable engines, and stops
// them after the notice period.
func (s *standIns) reclaim(domain ident.FailureDomain, notice time.Duration) {
	s.targets.Reclaim(domain, notice)
	for _, stop := range s.stopReclaimable[domain] {
		time.AfterFunc(notice, stop)
	}
}

// startTargets starts the engines and the ledger and returns their records.
func (s *standIns) startTargets(ctx context.Context, group *errgroup.Group) ([]external.TargetRecord, error) {
	var records []external.TargetRecord
	for i := range engineCount {
		record, err := s.startEngine(ctx, group, i)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	for i := range ledgerCount {
		address, err := serve(ctx, group, 0, ledger.New())
		if err != nil {
			return nil, err
		}
		records = append(records, external.TargetRecord{
			Target: ident.Target(fmt.Sprintf("ledger-%d", i+1)), Address: address, FailureDomain: failureDomainOf(i),
			Region: devRegion, Kind: external.Dependable, Service: devService,
		})
	}
	return records, nil
}

// startEngine starts the i-th engine. The second half of the engines is reclaimable.
func (s *standIns) startEngine(ctx context.Context, group *errgroup.Group, i int) (external.TargetRecord, error) {
	record := external.TargetRecord{
		Target: ident.Target(fmt.Sprintf("engine-%d", i+1)), FailureDomain: failureDomainOf(i), Region: devRegion,
		Kind: external.Dependable, Model: devModel, ChecksFencing: i%2 == 0,
	}
	if i >= engineCount/2 {
		var stop context.CancelFunc
		ctx, stop = context.WithCancel(ctx)
		record.Kind = external.Reclaimable
		s.stopReclaimable[record.FailureDomain] = append(s.stopReclaimable[record.FailureDomain], stop)
	}
	handler := engine.New(engine.Options{
		Target: record.Target, Model: devModel, Version: devVersion, ChangeTime: changeTime,
		TokenInterval: tokenInterval, PrefillRate: prefillRate,
		Slots: engineSlots, DefaultTokens: defaultTokens, ChecksFencing: record.ChecksFencing,
	})
	address, err := serve(ctx, group, 0, handler)
	record.Address = address
	return record, err
}

// serve serves a stand-in until ctx ends and returns its address. If port is zero, it
// uses a free one.
func serve(ctx context.Context, group *errgroup.Group, port int, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port))
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in; choose another -dev-platform-port")
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

// failureDomainOf returns the failure domain of the i-th host or target, round robin.
func failureDomainOf(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", i%failureDomainCount+1))
}
