package config

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// check validates a decoded document, including references between its parts.
func (d *decoder) check(document *Document) {
	names := newNameIndex()
	d.checkWorkspaces(document, names)
	for i, model := range document.Models {
		d.checkName(fmt.Sprintf("models[%d]", i), string(model.Name), names.models)
	}
	for i, service := range document.Services {
		d.checkName(fmt.Sprintf("services[%d]", i), string(service.Name), names.services)
	}
	d.checkRoutes(document, names)
	d.checkExceptions(document, names)
}

// nameIndex holds the names and key digests that a document defines.
type nameIndex struct {
	workspaces map[string]bool
	models     map[string]bool
	services   map[string]bool
	routes     map[string]bool
	digests    map[KeyDigest]bool
}

// newNameIndex returns an empty index.
func newNameIndex() *nameIndex {
	return &nameIndex{
		workspaces: make(map[string]bool), models: make(map[string]bool),
		services: make(map[string]bool), routes: make(map[string]bool),
		digests: make(map[KeyDigest]bool),
	}
}

// checkName checks that an item has a name that no other item uses.
func (d *decoder) checkName(path, name string, taken map[string]bool) {
	field := path + ".name"
	switch {
	case d.Malformed(field) || d.Malformed(path):
	case name == "":
		d.AddProblem(field, "the name is missing", "give the item a name")
	case taken[name]:
		d.AddProblem(field, fmt.Sprintf("duplicate name %q", name), "rename one of them")
	}
	taken[name] = true
}

// checkWorkspaces checks the names, weights and keys of the workspaces.
func (d *decoder) checkWorkspaces(document *Document, names *nameIndex) {
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		d.checkName(path, string(workspace.Name), names.workspaces)
		if workspace.Weight <= 0 && !d.Malformed(path) && !d.Malformed(path+".weight") {
			d.AddProblem(path+".weight", "the weight must be greater than zero", "write 1 for an ordinary workspace")
		}
		taken := make(map[string]bool)
		for j := range workspace.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			d.checkName(keyPath, workspace.Keys[j].Name, taken)
			d.checkDigest(keyPath+".digest", workspace.Keys[j].Digest, names)
		}
	}
}

// digestLength is the length of a SHA-256 digest in hexadecimal digits.
const digestLength = 64

// checkDigest checks that a digest is well-formed and belongs to only one key.
func (d *decoder) checkDigest(path string, digest KeyDigest, names *nameIndex) {
	switch {
	case d.Malformed(path):
	case !digest.valid():
		d.AddProblem(path, "not a SHA-256 digest", fmt.Sprintf("write %d lower-case hexadecimal digits, never the key itself", digestLength))
	case names.digests[digest]:
		d.AddProblem(path, "another key has the same digest", "list each key once, under one workspace")
	}
	names.digests[digest] = true
}

// valid reports whether the digest is digestLength lower-case hexadecimal digits.
func (k KeyDigest) valid() bool {
	if len(k) != digestLength {
		return false
	}
	for _, c := range []byte(k) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// validClass reports whether the class is known.
func validClass(class ident.Class) bool {
	switch class {
	case ident.ClassLookup, ident.ClassInteractive, ident.ClassDeferrable:
		return true
	default:
		return false
	}
}
