package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/gateway"
	"amaranthplank.example/amaranthplank/pkg/logqueue"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/quota"
	"amaranthplank.example/amaranthplank/pkg/registry"
	"amaranthplank.example/amaranthplank/platform"
)

// adminPort is the port of the operator API, with the metrics, of a process on the
// platform.
const adminPort = "9464"

// collectedShare is the part of the process's memory that its heap may take before it is collected
// more often. The other part is for what the runtime doesn't count.
const collectedShare = 0.8

// hostedFlags are the flags of a process on the platform.
type hostedFlags struct {
	// policy is the file with the fleet's defaults and exceptions.
	policy string
	// check only checks the settings and the policy, then exits.
	check bool
	level slog.Level
}

// runHosted runs a process on the platform until a graceful shutdown is complete.
func runHosted(ctx context.Context, stop <-chan struct{}, flags hostedFlags) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	policy, err := readPolicy(flags.policy)
	if err != nil || flags.check {
		return err
	}
	logLines := logqueue.New(os.Stdout)
	log := slog.New(logLines.Handler(flags.level))
	logCtx, stopLogging := context.WithCancel(context.Background())
	logFlushed := make(chan struct{})
	go func() {
		defer close(logFlushed)
		logLines.Run(logCtx)
	}()
	defer func() {
		stopLogging()
		<-logFlushed
	}()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(collectedShare * float64(settings.MemoryBytes)))
	}
	opts, err := hostedOptions(settings, policy, log)
	if err != nil {
		return err
	}
	opts.LinesDropped = logLines.Dropped
	g := gateway.New(opts)
	go newReloader(log, map[string]func([]byte) error{
		path: func(text []byte) error {
			changed, err := platform.ParseSettings(text)
			if err != nil {
				return err
			}
			g.ApplyLimits(limitsOf(changed))
			return nil
		},
		flags.policy: func(text []byte) error {
			changed, err := config.ParsePolicy(text)
			if err != nil {
				return err
			}
			opts.Published.SetPolicy(changed)
			return nil
		},
	}).run(ctx)
	go func() {
		<-stop
		g.Stop()
	}()
	log.Info("process starts", "host", settings.Host, "failureDomain", settings.FailureDomain)
	return g.Run(ctx)
}

// limitsOf returns the limits that can be changed while a process runs.
func limitsOf(s *platform.Settings) gateway.Limits {
	return gateway.Limits{
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		Quota: quota.Bounds{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack},
	}
}

// readPolicy reads the fleet's defaults and exceptions.
func readPolicy(file string) (*config.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the policy file can't be read", "pass the path of a readable file with -policy")
	}
	return config.ParsePolicy(text)
}

// hostedOptions returns the options of a process on the platform.
func hostedOptions(s *platform.Settings, policy *config.Document, log *slog.Logger) (gateway.Options, error) {
	published := config.NewPublishedSource(policy, log)
	cloud := platform.NewCloudClient(s.Host, s.CloudAddress)
	opts := gateway.Options{
		Host: s.Host, FailureDomain: s.FailureDomain, Log: log, ReadyHandler: platform.Readiness,
		Store: platform.NewStore(s.StoreAddress), PropagationBound: s.PropagationBound, Published: published,
		ConfigListener: &platform.ConfigurationPublisher{Published: published, Log: log},
		Registry: registry.Options{
			Prefix: platform.EntryPrefix, Decode: platform.EntryDecoder{ChecksFencing: s.ChecksFencing}.Decode, Log: log,
			RemovalBound: s.PropagationBound, ReadDelay: mirror.ReadDelay(s.PropagationBound),
		},
		Format: platform.CallerFormat{}, Protocol: platform.ReplicaProtocol{}, StopGrace: s.StopGrace, Limits: limitsOf(s),
		Sink: cloud, EngineOrderer: cloud, UsageWindow: s.UsageWindow, UsageReportDeadline: s.UsageReportDeadline,
		RoleOrderer: platform.NewRoleOrderer(s.Host), LeaseTerm: s.LeaseTerm, FencingUnchecked: !s.ChecksFencing, FirstStart: s.FirstStart, FileDescriptors: s.FileDescriptors, MemoryBytes: s.MemoryBytes,
	}
	var err error
	if opts.Listener, err = net.Listen("tcp", s.Callers); err != nil {
		return opts, listenError(err, s.Callers)
	}
	if opts.ReadyListener, err = net.Listen("tcp", s.Readiness); err != nil {
		return opts, listenError(err, s.Readiness)
	}
	peers := net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPort))
	if opts.PeerListener, err = net.Listen("tcp", peers); err != nil {
		return opts, listenError(err, peers)
	}
	admin := net.JoinHostPort(s.Address, adminPort)
	if opts.AdminListener, err = net.Listen("tcp", admin); err != nil {
		return opts, listenError(err, admin)
	}
	return opts, nil
}

// listenError wraps an error of listening on an address.
func listenError(err error, address string) error {
	return fault.Wrap(err, fault.Invalid, "can't listen on "+address, "free the address, or choose another one in the settings")
}
