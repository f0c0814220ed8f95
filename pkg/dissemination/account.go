package dissemination

import (
	"strings"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Unit is what an account counts.
type Unit string

// The units.
const (
	// Requests counts admitted requests.
	Requests Unit = "r"
	// Tokens counts prompt and output tokens.
	Tokens Unit = "t"
)

// Account is what a workspace consumes of one unit.
type Account struct {
	Workspace ident.Workspace
	Unit      Unit
}

// name returns the account as an item's name.
func (a Account) name() string { return string(a.Unit) + "/" + string(a.Workspace) }

// accountOf reads an item's name.
func accountOf(name string) Account {
	unit, workspace, _ := strings.Cut(name, "/")
	return Account{ident.Workspace(workspace), Unit(unit)}
}
