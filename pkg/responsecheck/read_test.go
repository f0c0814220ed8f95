package responsecheck

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestDecodeJSONReadsAllOfTheBody guards against a value that counts though its body goes on, is cut or
// exceeds the limit.
func TestDecodeJSONReadsAllOfTheBody(t *testing.T) {
	const limit = 9
	for text, ok := range map[string]bool{`{"n":7}`: true, " {\"n\":7}\n": true, `{"n":7}}`: false, `{"n":7`: false, `{"n":7}   `: false, "": false} {
		var got struct{ N int }
		err := DecodeJSON(strings.NewReader(text), limit, &got)
		must.Eq(t, ok, err == nil, must.Sprint(text))
	}
}
