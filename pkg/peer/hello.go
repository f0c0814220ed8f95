package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// hello is the first message of each end.
type hello struct {
	Protocol    uint8
	Host        ident.Host
	Incarnation ident.Incarnation
	// Nonce is what the other end's proof must cover.
	Nonce []byte
	// Proof covers both nonces; the dialing end sends its own in a proof
	// message, since it speaks first.
	Proof []byte
}

// proof is the dialing end's answer to the other's hello.
type proof struct {
	Proof []byte
}

const (
	// protocol is the version of the links themselves.
	protocol uint8 = 1
	// nonceBytes is the length of a nonce.
	nonceBytes = 16
)

// The two ends sign different texts, so that neither can echo the other's.
const (
	acceptLabel = "amaranthplank link accept"
	dialLabel   = "amaranthplank link dial"
)

// errProof says that the other end does not hold the fleet's secret.
var errProof = fault.New(fault.Unauthenticated, "a peer could not prove that it belongs to the fleet", "give every host the same peer secret")

// newHello returns the process's own hello with a fresh nonce.
func newHello(opts *Options) hello {
	nonce := make([]byte, nonceBytes)
	// The system's random source never fails.
	_, _ = rand.Read(nonce)
	return hello{Protocol: protocol, Host: opts.Host, Incarnation: opts.Incarnation, Nonce: nonce}
}

// check reports whether the other end's hello can be worked with.
func (h *hello) check(self ident.Host) error {
	if h.Protocol < protocol || len(h.Nonce) != nonceBytes || h.Host == "" {
		return errMalformed
	}
	if h.Host == self {
		return fault.New(fault.Conflict, "a peer bears this host's own name", "give every host a name of its own")
	}
	return nil
}

// sign returns the proof of one end over both hellos.
func sign(secret []byte, label string, dialer, acceptor *hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(label), dialer.Nonce, acceptor.Nonce, []byte(dialer.Host), []byte(acceptor.Host)} {
		// A hash takes every write; the length keeps the parts apart.
		_, _ = mac.Write([]byte{byte(len(part))})
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// verify checks the proof of one end.
func verify(secret []byte, label string, dialer, acceptor *hello, got []byte) error {
	if !hmac.Equal(got, sign(secret, label, dialer, acceptor)) {
		return errProof
	}
	return nil
}
