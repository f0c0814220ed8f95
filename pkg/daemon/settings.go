package daemon

import (
	"log/slog"
	"net"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/platform/httpclient"
	"amaranthplank.example/amaranthplank/pkg/settings"
)

// FromSettings opens the listeners and the platform's adapters that the
// settings name.
func FromSettings(s *settings.Settings, log *slog.Logger) (Options, error) {
	callers, err := listen(s.Listen.Callers, "listen.callers")
	if err != nil {
		return Options{}, err
	}
	operators, err := listen(s.Listen.Operators, "listen.operators")
	if err != nil {
		return Options{}, errors.Join(err, callers.Close())
	}
	client := httpclient.New(s.Platform.Address)
	knobs := config.BuiltinKnobs()
	return Options{
		UsageWindow: knobs.Usage.Window.D(), UsageGrace: knobs.Usage.Grace.D(),
		Host: s.Host, FailureDomain: s.FailureDomain, Region: s.Region, Log: log.With("host", s.Host),
		Listener: callers, AdminListener: operators,
		Store:   httpclient.NewStore(client),
		Targets: httpclient.NewTargetOrderer(client),
		Usage:   httpclient.NewUsageSink(client),
		Hosts:   httpclient.NewHostList(client),
		Weights: httpclient.NewWeightStore(client),
	}, nil
}

// listen opens the address of one setting.
func listen(address, setting string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "can't listen on "+address, "choose a free address of this host in "+setting)
	}
	return listener, nil
}
