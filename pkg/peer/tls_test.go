package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// writeCertificate creates a self-signed certificate and writes it to a directory
// as the certificate, its key and the authority.
func writeCertificate(t *testing.T, directory string) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "fleet"}, DNSNames: []string{"fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	files := TLSFiles{
		Certificate: filepath.Join(directory, "cert.pem"), Key: filepath.Join(directory, "key.pem"),
		Authority: filepath.Join(directory, "ca.pem"), ServerName: "fleet",
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	must.NoError(t, os.WriteFile(files.Certificate, text, 0o600))
	must.NoError(t, os.WriteFile(files.Authority, text, 0o600))
	must.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return files
}

// startTLS runs a manager that authenticates by its certificate alone, without a
// secret.
func startTLS(t *testing.T, host ident.Host, files TLSFiles) (*Manager, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m, err := New(Options{Host: host, Listener: listener, TLS: files, Registerer: prometheus.NewRegistry()})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return m, listener.Addr().String()
}

func TestCertificateRotationNeedsNoRestart(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	directory := t.TempDir()
	a, _ := startTLS(t, "a", writeCertificate(t, directory))
	_, address := startTLS(t, "b", TLSFiles{
		Certificate: filepath.Join(directory, "cert.pem"), Key: filepath.Join(directory, "key.pem"),
		Authority: filepath.Join(directory, "ca.pem"), ServerName: "fleet",
	})
	canLink := func(m *Manager) bool {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		opened := false
		// Canceling ctx ends the link as soon as it is open.
		_ = m.dial(ctx, Address{"b", address}, func() { opened = true; cancel() })
		return opened
	}
	must.True(t, canLink(a))
	otherFleet, _ := startTLS(t, "c0", writeCertificate(t, t.TempDir()))
	must.False(t, canLink(otherFleet))
	writeCertificate(t, directory)
	must.True(t, canLink(a))
}

func TestNewRequiresSecretOrTLS(t *testing.T) {
	_, err := New(Options{Host: "a"})
	must.ErrorIs(t, err, ErrNoAuthentication)
}
