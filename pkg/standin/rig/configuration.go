package rig

import (
	"fmt"
	"strings"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// Model is the model that the engines serve.
	Model ident.Model = "counting"
	// Service is the service that the ledgers serve.
	Service ident.Service = "ledger"
)

// Key returns a workspace's API key. A new rig has the workspaces "one" and
// "two".
func Key(workspace ident.Workspace) string { return "secret-of-" + string(workspace) }

// Config is a configuration source whose snapshot tests can replace.
type Config struct {
	current atomic.Pointer[config.Snapshot]
	opts    Options
}

var _ config.Source = (*Config)(nil)

// Current returns the current configuration snapshot.
func (c *Config) Current() *config.Snapshot { return c.current.Load() }

// SetOptions sets the options that later calls of Set build configurations from.
func (c *Config) SetOptions(opts Options) { c.opts = opts.withDefaults() }

// Set replaces the configuration by one with the given workspaces, each with
// the key that Key returns for it.
func (c *Config) Set(workspaces ...ident.Workspace) error {
	var keys []string
	for _, workspace := range workspaces {
		keys = append(keys, fmt.Sprintf(`{"name": %q, "weight": 1, "keys": [{"name": "k", "digest": %q}]}`,
			workspace, config.DigestKey(Key(workspace))))
	}
	document, err := config.Parse(fmt.Appendf(nil, documentText, c.opts.Timeout, c.opts.SilenceTimeout, c.opts.HedgeAfter, strings.Join(keys, ","), Model, Service))
	if err != nil {
		return err
	}
	for i := range document.Routes {
		document.Routes[i].Idempotent = document.Routes[i].Idempotent || c.opts.AllIdempotent
	}
	revision := ident.Revision(1)
	if current := c.Current(); current != nil {
		revision = current.Revision + 1
	}
	c.current.Store(config.NewSnapshot(revision, document))
	return nil
}

// documentText is the format string of the rig's configuration document.
const documentText = `{
	"defaults": {"retry": {"timeout": %q, "silenceTimeout": %q, "budgetBurst": 100, "hedgeAfter": %q}},
	"workspaces": [%s],
	"models": [{"name": %q, "version": "1"}],
	"services": [{"name": %q}],
	"routes": [
		{"name": "chat", "path": "/v1/chat/completions", "class": "interactive", "idempotent": true},
		{"name": "once", "path": "/v1/completions", "class": "interactive", "idempotent": false},
		{"name": "read", "path": "/services/ledger/balances", "methods": ["GET"], "class": "lookup", "idempotent": true},
		{"name": "write", "path": "/services/ledger/adjustments", "methods": ["POST"], "class": "interactive", "idempotent": false},
		{"name": "mark", "path": "/services/ledger/marks", "methods": ["POST"], "class": "interactive", "idempotent": false},
		{"name": "open", "path": "/services/ledger/open", "methods": ["GET", "POST"], "service": "ledger", "class": "lookup", "idempotent": true, "open": true},
	],
	"exceptions": [],
}`
