package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// errInvalidKey is returned for a request without a valid key.
var errInvalidKey = fault.New(fault.Unauthenticated, "the request has no valid key", "send the workspace's key as Authorization: Bearer KEY")

// caller identifies the sender of a request.
type caller struct {
	// workspace is empty if the request has no valid key.
	workspace ident.Workspace
	digest    config.KeyDigest
	// key is the key as sent, valid or not. It must not leave this package.
	key string
}

// identify returns the caller that the key belongs to.
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

// check returns an error if the key no longer belongs to the workspace.
func (c *caller) check(snapshot *config.Snapshot) error {
	if c.workspace == "" {
		return nil
	}
	workspace, ok := snapshot.WorkspaceOf(c.digest, time.Now())
	if !ok || workspace.Name != c.workspace {
		return errInvalidKey
	}
	return nil
}
