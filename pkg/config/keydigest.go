package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 of a caller's key, in hexadecimal.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}
