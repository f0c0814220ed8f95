package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// errNoKey tells the caller that no valid key came with the request.
var errNoKey = fault.New(fault.Unauthenticated, "no valid key came with the request", "send the workspace's key as Authorization: Bearer KEY")

// caller is whom a request comes from.
type caller struct {
	// workspace is empty where no valid key came.
	workspace ident.Workspace
	digest    config.KeyDigest
	// key is what came as a key, valid or not. It stays in this package.
	key string
}

// identify returns the workspace whose key came with the request.
func identify(snapshot *config.Snapshot, key string) caller {
	if key == "" {
		return caller{}
	}
	c := caller{key: key, digest: config.DigestKey(key)}
	if workspace, ok := snapshot.WorkspaceOf(c.digest, time.Now()); ok {
		c.workspace = workspace.Name
	}
	return c
}

// check reports whether the key still belongs to the workspace.
func (c *caller) check(snapshot *config.Snapshot) error {
	if c.workspace == "" {
		return nil
	}
	workspace, ok := snapshot.WorkspaceOf(c.digest, time.Now())
	if !ok || workspace.Name != c.workspace {
		return errNoKey
	}
	return nil
}
