package target

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

func TestFrameReaderReadsValidStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		words := rapid.SliceOf(rapid.SampledFrom([]string{"", "x", " two", "{}", strings.Repeat("long", 1500)}))
		data := rapid.SliceOf(rapid.Map(words, func(w []string) string { return strings.Join(w, "") })).Draw(t, "data")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		for i, d := range data {
			fmt.Fprintf(&text, ": alive%s%sid: %d%sdata: %s%s%s", end, end, i+1, end, d, end, end)
		}
		reader := NewFrameReader(iotest.HalfReader(strings.NewReader(text.String())))
		for i, d := range data {
			frame, err := reader.Next()
			must.NoError(t, err)
			must.Eq(t, 0, frame.ID)
			frame, err = reader.Next()
			must.NoError(t, err)
			must.Eq(t, uint64(i+1), frame.ID)
			must.Eq(t, d, string(frame.Data))
			must.Eq(t, "data: "+d+end+end, string(frame.Text))
		}
		_, err := reader.Next()
		must.ErrorIs(t, err, io.EOF)
	})
}

func TestFrameReaderRejectsInvalidStreams(t *testing.T) {
	for text, want := range map[string]error{
		"id: 1\ndata: x\n":            io.ErrUnexpectedEOF,
		"data: x\n\n":                 ErrFrameMalformed,
		"id: 1\n\n":                   ErrFrameMalformed,
		"id: 01\ndata: x\n\n":         ErrFrameMalformed,
		"id: 1\nid: 2\ndata: x\n\n":   ErrFrameMalformed,
		"id: 1\ndata: x\ndata: y\n\n": ErrFrameMalformed,
		"data: x\nid: 1\n\n":          ErrFrameMalformed,
		"retry: 5\n\n":                ErrFrameMalformed,
		"id: 1\ndata: " + strings.Repeat("x", MaxFrameBytes) + "\n\n": ErrFrameTooLarge,
	} {
		_, err := NewFrameReader(strings.NewReader(text)).Next()
		must.ErrorIs(t, err, want, must.Sprintf("%.40q", text))
	}
}

// TestBlankLinesAreNotReady guards against an event that is held back because blank
// lines, after which nothing follows, arrived with it.
func TestBlankLinesAreNotReady(t *testing.T) {
	reader := NewEventReader(strings.NewReader("id: 1\n\n\n\r\n\n\nid: 2\n\n"), nil)
	_, err := reader.Next()
	must.NoError(t, err)
	must.True(t, reader.Ready())
	reader = NewEventReader(strings.NewReader("id: 1\n\n\n\r\n\n\n"), nil)
	_, err = reader.Next()
	must.NoError(t, err)
	must.False(t, reader.Ready())
}

func FuzzFrameReader(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n")
	f.Add(": x\r\n\r\nid:1\r\ndata:\r\n\r\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewFrameReader(iotest.OneByteReader(strings.NewReader(text)))
		for read := 0; ; read++ {
			frame, err := reader.Next()
			if err != nil {
				return
			}
			must.LessEq(t, len(text), read)
			must.True(t, (frame.ID == 0) == (len(frame.Text) == 0))
		}
	})
}
