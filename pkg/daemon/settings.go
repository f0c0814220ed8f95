package daemon

import (
	"bytes"
	"log/slog"
	"net"
	"os"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/httpclient"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/settings"
)

// certificateName is the server name in every host's certificate for peer links.
const certificateName = "amaranthplank"

// FromSettings reads the files that the settings name, opens the listeners and
// creates the clients of the platform. It fails with kind Invalid and an error
// that names the setting.
func FromSettings(s *settings.Settings, log *slog.Logger) (Options, error) {
	opts := Options{
		Host: s.Host, FailureDomain: s.FailureDomain, Region: s.Region, Log: log.With("host", s.Host),
		PeerDegree:    s.Peers.Degree,
		BalancerDelay: s.Shutdown.BalancerDelay.D(),
	}
	for _, seed := range s.Peers.Seeds {
		opts.PeerSeeds = append(opts.PeerSeeds, external.HostRecord{
			Host: seed.Host, FailureDomain: seed.FailureDomain, Region: seed.Region, PeerAddress: seed.Address,
		})
	}
	if err := readFiles(s, &opts); err != nil {
		return Options{}, err
	}
	if err := listenAll(s, &opts); err != nil {
		return Options{}, err
	}
	client := httpclient.New(s.Platform.Address)
	opts.Store = httpclient.NewStore(client)
	opts.Targets = httpclient.NewTargetOrderer(client)
	opts.Usage = httpclient.NewUsageSink(client)
	opts.Hosts = httpclient.NewHostList(client)
	opts.Weights = httpclient.NewWeightStore(client)
	return opts, nil
}

// readFiles reads the peer secret and the target credential. Of the certificates
// it sets only the paths, since they are read for each new link.
func readFiles(s *settings.Settings, opts *Options) error {
	secret, err := readFile(s.Peers.SecretFile, "peers.secretFile")
	if err != nil {
		return err
	}
	opts.PeerSecret = secret
	if s.Peers.CertificateFile != "" {
		opts.PeerTLS = peer.TLSFiles{
			Certificate: s.Peers.CertificateFile, Key: s.Peers.KeyFile, Authority: s.Peers.AuthorityFile,
			ServerName: certificateName,
		}
	}
	if s.Targets.CredentialFile == "" {
		return nil
	}
	credential, err := readFile(s.Targets.CredentialFile, "targets.credentialFile")
	opts.Credential = string(credential)
	return err
}

// readFile reads the file that a setting names and trims surrounding white space.
func readFile(path, setting string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "can't read the file that "+setting+" names", "name a readable file in "+setting)
	}
	return bytes.TrimSpace(content), nil
}

// listenAll opens the listeners for callers, operators and peers.
func listenAll(s *settings.Settings, opts *Options) error {
	var err error
	if opts.Listener, err = listen(s.Listen.Callers, "listen.callers"); err != nil {
		return err
	}
	if opts.AdminListener, err = listen(s.Listen.Operators, "listen.operators"); err != nil {
		return errors.Join(err, opts.Listener.Close())
	}
	if opts.PeerListener, err = listen(s.Listen.Peers, "listen.peers"); err != nil {
		return errors.Join(err, opts.Listener.Close(), opts.AdminListener.Close())
	}
	return nil
}

// listen listens on the address of a setting.
func listen(address, setting string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "can't listen on "+address, "choose a free address of this host in "+setting)
	}
	return listener, nil
}
