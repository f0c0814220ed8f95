package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// errKeyElsewhere tells the caller to keep the key where it belongs.
var errKeyElsewhere = fault.New(fault.Invalid, "a key came outside the Authorization header", "send the key only as Authorization: Bearer KEY, and replace it if others can have read it")

// checkLeaks refuses a request that bears a key in a part that may go on to a
// target: the key that came with it in any place, or any valid key as a value
// of the query, a piece of the path or a forwarded header.
func checkLeaks(snapshot *config.Snapshot, from caller, r *http.Request, body []byte) error {
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return fault.New(fault.Invalid, "the query is malformed", "escape the query's values")
	}
	values := []string{r.URL.Path, query}
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, "If-Match", "If-None-Match"} {
		values = append(values, r.Header.Values(name)...)
	}
	for _, value := range values {
		if from.key != "" && strings.Contains(value, from.key) {
			return errKeyElsewhere
		}
		if bearsKey(snapshot, value) {
			return errKeyElsewhere
		}
	}
	if from.key != "" && bytes.Contains(body, []byte(from.key)) {
		return errKeyElsewhere
	}
	return nil
}

// bearsKey reports whether a piece of the text is a valid key.
func bearsKey(snapshot *config.Snapshot, text string) bool {
	for _, piece := range strings.FieldsFunc(text, isSeparator) {
		if _, ok := snapshot.WorkspaceOf(config.DigestKey(piece), time.Now()); ok {
			return true
		}
	}
	return false
}

// isSeparator reports whether a character separates pieces.
func isSeparator(r rune) bool { return strings.ContainsRune("/?&=;, \"", r) }
