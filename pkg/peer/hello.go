package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// hello is the first message that each end of a link sends.
type hello struct {
	Protocol    uint8
	Host        ident.Host
	Incarnation ident.Incarnation
	// Nonce is random. The other end's proof must cover it.
	Nonce []byte
	// Proof covers both nonces. It is empty in the hello of the dialing end, which
	// sends first, before it has received the other nonce: its proof follows in a
	// proof message.
	Proof []byte
}

// proof is the dialing end's response to the accepting end's hello.
type proof struct {
	Proof []byte
}

const (
	// protocol is the version of the link protocol.
	protocol uint8 = 1
	// nonceBytes is the length of a nonce.
	nonceBytes = 16
)

// The two ends sign different labels, so that neither can replay the other's
// proof.
const (
	acceptLabel = "amaranthplank link accept"
	dialLabel   = "amaranthplank link dial"
)

// errInvalidProof is returned if the other end does not have the fleet's secret.
var errInvalidProof = fault.New(fault.Unauthenticated, "a peer's proof of the peer secret is invalid", "give every host the same peer secret")

// newHello returns this process's hello with a fresh nonce.
func newHello(opts *Options) hello {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(nonce)
	return hello{Protocol: protocol, Host: opts.Host, Incarnation: opts.Incarnation, Nonce: nonce}
}

// validate returns an error if the other end's hello is malformed or names this
// host.
func (h *hello) validate(self ident.Host) error {
	if h.Protocol < protocol || len(h.Nonce) != nonceBytes || h.Host == "" {
		return errMalformed
	}
	if h.Host == self {
		return fault.New(fault.Conflict, fmt.Sprintf("a peer has this host's name %q", self), "give every host a unique name")
	}
	return nil
}

// sign returns the proof of one end over both hellos.
func sign(secret []byte, label string, dialer, acceptor *hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(label), dialer.Nonce, acceptor.Nonce, []byte(dialer.Host), []byte(acceptor.Host)} {
		// Writes to a hash never fail. The length separates the parts.
		_, _ = mac.Write([]byte{byte(len(part))})
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// verify checks the proof of one end.
func verify(secret []byte, label string, dialer, acceptor *hello, got []byte) error {
	if !hmac.Equal(got, sign(secret, label, dialer, acceptor)) {
		return errInvalidProof
	}
	return nil
}
