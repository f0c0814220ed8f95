package entry

import (
	"net/url"
	"path"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// checkPath refuses paths that a target could interpret differently from the
// route matching here: those with dot segments, empty segments, escaped slashes
// or backslashes.
func checkPath(u *url.URL) error {
	cleaned := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && cleaned != "/" {
		cleaned += "/"
	}
	escaped := strings.ToLower(u.EscapedPath())
	if cleaned != u.Path || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(u.Path, "\\") {
		return fault.New(fault.Invalid, "the path is not in canonical form", "send the path without dot segments, empty segments, escaped slashes and backslashes")
	}
	return nil
}

// targetPath returns the escaped path without the prefix, and the query, as sent
// to targets.
func targetPath(u *url.URL, prefix string) string {
	escaped := strings.TrimPrefix(u.EscapedPath(), prefix)
	if escaped == "" {
		escaped = "/"
	}
	if u.RawQuery != "" {
		escaped += "?" + u.RawQuery
	}
	return escaped
}
