package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// TLSSource provides the settings of each new TLS connection.
type TLSSource interface {
	// Server returns the settings of the accepting end, which must request and
	// verify the other end's certificate.
	Server() (*tls.Config, error)
	// Client returns the settings of the dialing end.
	Client() (*tls.Config, error)
}

// TLSFiles reads the certificate, its key and the fleet's certificate authority
// from files for each new connection, so that a rotation needs no restart.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
	// ServerName is a DNS name in the certificate of every host.
	ServerName string
}

var _ TLSSource = TLSFiles{}

// Server returns the settings of the accepting end.
func (f TLSFiles) Server() (*tls.Config, error) {
	pair, pool, err := f.read()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}, nil
}

// Client returns the settings of the dialing end.
func (f TLSFiles) Client() (*tls.Config, error) {
	pair, pool, err := f.read()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ServerName: f.ServerName,
	}, nil
}

// read loads the files.
func (f TLSFiles) read() (tls.Certificate, *x509.CertPool, error) {
	const remedy = "check the files that peers.certificateFile, peers.keyFile and peers.authorityFile name"
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return pair, nil, fault.Wrap(err, fault.Invalid, "the peer certificate or its key can't be read", remedy)
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return pair, nil, fault.Wrap(err, fault.Invalid, "the peer certificate authority can't be read", remedy)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return pair, nil, fault.New(fault.Invalid, "the peer certificate authority file "+f.Authority+" contains no certificate", remedy)
	}
	return pair, pool, nil
}
