package config

import "time"

// Key is a caller's API key, of which only the digest is stored.
type Key struct {
	// Name identifies the key in logs.
	Name   string    `json:"name"`
	Digest KeyDigest `json:"digest"`
	// Expires is when the key stops being valid; zero means never.
	Expires time.Time `json:"expires,omitzero"`
}
