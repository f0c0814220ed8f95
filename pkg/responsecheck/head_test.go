package responsecheck

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// seedHeads are heads from which the fuzzing starts. Those in platform/malformedheads_test.go are played
// against a whole gateway.
var seedHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.0 404 Not Found\r\n\r\n", "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA\r\n\r\n", "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", "HTTP/1.1 200 OK\nA: 1\n\n", "HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 204 None\r\nContent-Length: 1\r\n\r\n",
}

// FuzzHead guards against a head that is found well-formed and that net/http reads as another one or
// not at all, and against a verdict that depends on how its bytes arrive.
func FuzzHead(f *testing.F) {
	for _, text := range seedHeads {
		f.Add([]byte(text), 1)
	}
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		var whole head
		err := whole.read(text)
		split = max(0, min(split, len(text)))
		var parts head
		partErr := parts.read(text[:split])
		if partErr == nil {
			partErr = parts.read(text[split:])
		}
		must.Eq(t, err, partErr)
		must.Eq(t, whole.complete, parts.complete)
		if err != nil || !whole.complete || whole.status < http.StatusOK {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		response, readErr := http.ReadResponse(reader, nil)
		for readErr == nil && response.StatusCode < http.StatusOK {
			response, readErr = http.ReadResponse(reader, nil)
		}
		if readErr != nil {
			// It reads numbers as int64, and names that it doesn't know in other ways.
			must.True(t, whole.length != "" || whole.coded, must.Sprint(readErr))
			return
		}
		must.Eq(t, whole.status, response.StatusCode)
		must.Eq(t, whole.coded && response.Body != http.NoBody, len(response.TransferEncoding) > 0 && response.Body != http.NoBody)
	})
}
