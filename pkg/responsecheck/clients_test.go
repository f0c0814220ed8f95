package responsecheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// unchecked are the parts of net/http that read responses without the checks of the package.
var unchecked = map[string]bool{"Get": true, "Head": true, "Post": true, "PostForm": true, "DefaultClient": true, "ReadResponse": true}

// clientField is the field by which a library is given a client.
const clientField = "HTTPClient"

// TestEveryClientChecksResponses reads the sources of the program. It guards against a client that is
// made without New, so that it takes a malformed response for an answer.
func TestEveryClientChecksResponses(t *testing.T) {
	clients := 0
	for _, root := range []string{"../../cmd", "../../pkg", "../../platform", "../../bench"} {
		must.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			must.NoError(t, err)
			test := strings.HasSuffix(path, "_test.go") || strings.Contains(path, "pkg/standin")
			if entry.IsDir() || test || !strings.HasSuffix(path, ".go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			must.NoError(t, err)
			ast.Inspect(file, func(node ast.Node) bool {
				switch n := node.(type) {
				case *ast.CompositeLit:
					if isSelector(n.Type, "http", "Client") {
						clients++
						must.True(t, usesNew(n), must.Sprint(path, ": a client without responsecheck.New"))
					}
					if isSelector(n.Type, "websocket", "DialOptions") {
						must.True(t, field(n, clientField) != nil, must.Sprint(path, ": a link without a client"))
					}
				case *ast.SelectorExpr:
					must.False(t, n.Sel.Name == "RoundTrip" && !strings.Contains(path, "pkg/responsecheck"), must.Sprint(path, ": RoundTrip"))
					must.False(t, unchecked[n.Sel.Name] && isSelector(n, "http", n.Sel.Name), must.Sprint(path, ": http.", n.Sel.Name))
				}
				return true
			})
			return nil
		}))
	}
	must.Positive(t, clients)
}

// isSelector reports whether an expression is pkg.name.
func isSelector(expression ast.Expr, pkg, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	x, ok := selector.X.(*ast.Ident)
	return ok && x.Name == pkg
}

// usesNew reports whether the transport of a client is a call of responsecheck.New.
func usesNew(client *ast.CompositeLit) bool {
	call, ok := field(client, "Transport").(*ast.CallExpr)
	return ok && isSelector(call.Fun, "responsecheck", "New")
}

// field returns the value of a field of a literal, or nil.
func field(literal *ast.CompositeLit, name string) ast.Expr {
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := pair.Key.(*ast.Ident); ok && key.Name == name {
			return pair.Value
		}
	}
	return nil
}
