package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestDocumentedLogMessagesExist checks that each log message that the operations
// page documents appears in the sources.
func TestDocumentedLogMessagesExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "<!-- lines: begin -->")
	must.True(t, found)
	table, _, found := strings.Cut(rest, "<!-- lines: end -->")
	must.True(t, found)
	sources := sourceText(t, "../../pkg") + sourceText(t, "../../cmd") + sourceText(t, "../../platform")
	count := 0
	for line := range strings.Lines(table) {
		first, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
		for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(first, -1) {
			count++
			must.True(t, strings.Contains(sources, match[1]), must.Sprint(match[1]))
		}
	}
	must.Greater(t, 20, count)
}

// sourceText returns the text of all Go files below a directory, without tests.
func sourceText(t *testing.T, root string) string {
	var text strings.Builder
	must.NoError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		text.Write(source)
		return err
	}))
	return text.String()
}
