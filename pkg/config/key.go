package config

import "time"

// Key is one caller's key, of which only the digest is kept.
type Key struct {
	// Name tells keys apart in logs.
	Name   string    `json:"name"`
	Digest KeyDigest `json:"digest"`
	// Expires ends the key by itself where it is set.
	Expires time.Time `json:"expires,omitzero"`
}
