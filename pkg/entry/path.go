package entry

import (
	"net/url"
	"path"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// checkPath refuses paths that a target could read otherwise than the routes
// do: with dot segments, empty segments or escaped slashes.
func checkPath(u *url.URL) error {
	cleaned := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && cleaned != "/" {
		cleaned += "/"
	}
	escaped := strings.ToLower(u.EscapedPath())
	if cleaned != u.Path || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(u.Path, "\\") {
		return fault.New(fault.Invalid, "the path is not in its plain form", "send the path without dot segments, empty segments and escaped slashes")
	}
	return nil
}

// targetPath returns the path and query as targets get them, without the
// prefix.
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
