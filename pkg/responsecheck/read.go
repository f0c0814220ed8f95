package responsecheck

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLarge means that a response's body exceeds a reader's limit.
var ErrTooLarge = errors.New("the response exceeds the size limit")

// ReadAll reads a body to its end. It fails with ErrTooLarge if it has more bytes than the limit.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = ErrTooLarge
	}
	return text, err
}

// DecodeJSON decodes a body of at most limit bytes that is one JSON value, once all of it was read.
// It fails like ReadAll.
func DecodeJSON(body io.Reader, limit int64, into any) error {
	text, err := ReadAll(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}
