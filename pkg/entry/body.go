package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/overload"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// firstPieceBytes is the size of the first piece of a body without a stated length. Each further
	// one is twice as long, up to maxPieceBytes.
	firstPieceBytes = 2 << 10
	// maxPieceBytes is the size of the longest piece in which a body is read.
	maxPieceBytes = 64 << 10
)

// errBodyTooLarge is returned for a body above the size limit.
var errBodyTooLarge = fault.New(fault.TooLarge, "the request body is too large", "send a smaller body")

// readBody reads a body of at most limit bytes within the timeout. Each piece is charged to the hold
// before it is read. On failure the read deadline stays set, so that the server does not wait for the
// rest of the body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, hold *overload.Hold) (request.Body, error) {
	if r.ContentLength == 0 {
		return request.Body{}, hold.BodyRead()
	}
	controller := http.NewResponseController(w)
	// The error is ignored: writers without deadline support, such as those of
	// tests, have no slow callers.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	if r.ContentLength > limit {
		return request.Body{}, errBodyTooLarge
	}
	body, err := readPieces(r, limit, hold)
	if hold.Evicted() {
		err = overload.ErrFull
	}
	if err == nil {
		err = hold.BodyRead()
	}
	if err != nil {
		return request.Body{}, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// readPieces reads a body of its stated length, or to its end.
func readPieces(r *http.Request, limit int64, hold *overload.Hold) (body request.Body, err error) {
	size := int64(firstPieceBytes)
	for {
		if r.ContentLength >= 0 {
			size = r.ContentLength - int64(body.Len())
		}
		size = min(size, maxPieceBytes, limit+1-int64(body.Len()))
		if size == 0 {
			return body, nil
		}
		if err := hold.TakeBody(size); err != nil {
			return body, err
		}
		piece, err := readPiece(r.Body, size)
		body.Append(piece)
		switch {
		case int64(body.Len()) > limit:
			return body, errBodyTooLarge
		case errors.Is(err, io.EOF) && (r.ContentLength < 0 || int64(body.Len()) == r.ContentLength):
			return body, nil
		case err != nil:
			return body, fault.Wrap(err, fault.Invalid, "failed to read the request body", "send the whole body without pauses")
		}
		size *= 2
	}
}

// readPiece reads a number of bytes, or fewer with the error that ended the reading.
func readPiece(from io.Reader, size int64) (piece []byte, err error) {
	piece = make([]byte, size)
	read := 0
	for read < len(piece) && err == nil {
		var n int
		n, err = from.Read(piece[read:])
		read += n
	}
	return piece[:read], err
}
