package fault

// maxTextBytes is the length to which Shorten cuts an error's text.
const maxTextBytes = 512

// shortError is an error with a shortened text.
type shortError struct {
	cause error
	text  string
}

// Error returns the shortened text.
func (e *shortError) Error() string { return e.text }

// Unwrap returns the error with the whole text.
func (e *shortError) Unwrap() error { return e.cause }

// Shorten returns err with a text of at most maxTextBytes and a mark. It is for errors
// that quote what another process sent, such as those of a malformed HTTP response. It
// returns nil if err is nil.
func Shorten(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxTextBytes {
		return err
	}
	return &shortError{cause: err, text: text[:maxTextBytes] + "..."}
}
