package request

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint identifies the content of a request: it is the same for each request with
// the same workspace, method, host, path and body, whatever its ID and headers. It is a
// part of a SHA-256 hash, so that no caller can make a request with the fingerprint of
// another workspace's.
type Fingerprint uint64

// String returns the fingerprint for logs and keys.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprint returns the request's fingerprint, which the first call computes. It must
// not be called by several goroutines at the same time.
func (r *Request) Fingerprint() Fingerprint {
	if r.fingerprint == 0 {
		r.fingerprint = r.computeFingerprint()
	}
	return r.fingerprint
}

// HasFingerprint reports whether the fingerprint was computed.
func (r *Request) HasFingerprint() bool { return r.fingerprint != 0 }

// computeFingerprint hashes the parts of the request, each prefixed with its length. The
// result is never zero.
func (r *Request) computeFingerprint() Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range []string{string(r.Workspace), r.Method, r.Host, r.Path} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(size[:0], uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = r.Body.WriteTo(hash)
	var sum [sha256.Size]byte
	return Fingerprint(max(1, binary.BigEndian.Uint64(hash.Sum(sum[:0]))))
}
