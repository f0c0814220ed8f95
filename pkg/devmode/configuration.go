package devmode

import (
	"crypto/rand"
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// devModel is the model that the engines serve.
	devModel ident.Model = "counting"
	// devVersion is the model version that the engines start with.
	devVersion = "1"
	// devService is the name of the plain service.
	devService ident.Service = "ledger"
	// devRegion is the region of all hosts and targets.
	devRegion ident.Region = "loopback"
)

// newKey returns a random workspace key.
func newKey() string { return "dev-" + rand.Text() }

// initialConfig returns the initial configuration, with the digest of the workspace
// key.
func initialConfig(digest config.KeyDigest) []byte {
	return fmt.Appendf(nil, `{
	// Fleet-wide defaults; knobs that are left out keep their built-in value.
	"defaults": {"usage": {"window": "10s", "grace": "2s"}},
	"workspaces": [{"name": "dev", "weight": 1, "keys": [{"name": "first", "digest": %q}]}],
	"models": [{"name": %q, "version": %q}],
	"services": [{"name": %q}],
	"routes": [
		{"name": "chat", "path": "/v1/chat/completions", "class": "interactive", "idempotent": true},
		{"name": "completions", "path": "/v1/completions", "class": "interactive", "idempotent": true},
		{"name": "ledger-read", "path": "/services/ledger/balances", "methods": ["GET"], "class": "lookup", "idempotent": true},
		{"name": "ledger-write", "path": "/services/ledger/adjustments", "methods": ["POST"], "class": "interactive", "idempotent": false},
	],
	"exceptions": [],
}`, digest, devModel, devVersion, devService)
}
