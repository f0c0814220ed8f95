package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Key names one idempotent submission of a workspace.
type Key struct {
	Workspace ident.Workspace
	Route     ident.Route
	// Text is what the caller sent as the idempotency key.
	Text string
}

// digest is what stands for a key in the store.
type digest string

// digestBytes is how much of the hash is kept.
const digestBytes = 16

// digest returns the key's digest.
func (k Key) digest() digest {
	return digest(hash([]byte(k.Workspace), []byte(k.Route), []byte(k.Text)))
}

// Fingerprint tells apart the requests that a key was used with.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request's parts.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	return Fingerprint(hash([]byte(method), []byte(path), body))
}

// hash returns a hash of the parts with their lengths.
func hash(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
