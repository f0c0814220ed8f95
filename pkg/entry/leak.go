package entry

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// errMisplacedKey is returned for a request with a key in a part that checkLeaks
// checks.
var errMisplacedKey = fault.New(fault.Invalid, "a key was sent outside the Authorization header", "send the key only as Authorization: Bearer KEY, and replace it if others may have read it")

// checkLeaks refuses a request that carries a key in a part that may be forwarded
// to a target. It looks for the caller's own key anywhere in the path, the query,
// the headers that relay.EngineProtocol forwards and the body, and for any valid key that
// is a whole token of the path, the query or one of these headers.
func checkLeaks(snapshot *config.Snapshot, c caller, r *http.Request, body request.Body) error {
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return fault.New(fault.Invalid, "the query is malformed", "escape the query's values")
	}
	values := []string{r.URL.Path, query}
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, "If-Match", "If-None-Match"} {
		values = append(values, r.Header.Values(name)...)
	}
	for _, value := range values {
		if c.key != "" && strings.Contains(value, c.key) {
			return errMisplacedKey
		}
		if containsKey(snapshot, value) {
			return errMisplacedKey
		}
	}
	if c.key != "" && body.Contains([]byte(c.key)) {
		return errMisplacedKey
	}
	return nil
}

// containsKey reports whether a token of the text is a valid key.
func containsKey(snapshot *config.Snapshot, text string) bool {
	for _, piece := range strings.FieldsFunc(text, isSeparator) {
		if _, ok := snapshot.WorkspaceOf(config.DigestKey(piece), time.Now()); ok {
			return true
		}
	}
	return false
}

// isSeparator reports whether r separates tokens.
func isSeparator(r rune) bool { return strings.ContainsRune("/?&=;, \"", r) }
