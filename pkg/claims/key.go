package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Key identifies an idempotent request by its workspace, route and idempotency
// key.
type Key struct {
	Workspace ident.Workspace
	Route     ident.Route
	// Text is the idempotency key sent by the caller.
	Text string
}

// digest is the hash of a key under which its claim is stored.
type digest string

// digestBytes is the length to which hashes are truncated.
const digestBytes = 16

// digest returns the key's digest.
func (k Key) digest() digest {
	return digest(hash([]byte(k.Workspace), []byte(k.Route), []byte(k.Text)))
}

// Fingerprint is a hash of a request, to detect the reuse of a key with a
// different request.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request's parts.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	return Fingerprint(hash([]byte(method), []byte(path), body))
}

// hash returns a truncated SHA-256 of the parts, each prefixed with its length.
func hash(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
