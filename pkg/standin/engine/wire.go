package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// completionBody is the part of a request body that the engine uses.
type completionBody struct {
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
}

// message is one message of a chat.
type message struct {
	Content string `json:"content"`
}

// tokens returns the length of the output in tokens.
func (b *completionBody) tokens(fallback int) int {
	if b.MaxTokens > 0 {
		return b.MaxTokens
	}
	return fallback
}

// promptTokens returns the number of words in the prompt, each counted as one
// token.
func (b *completionBody) promptTokens() int {
	n := len(strings.Fields(b.Prompt))
	for _, m := range b.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// chunk is one event of a streamed response, or the body of an unstreamed one.
type chunk struct {
	Choices []choice      `json:"choices"`
	Usage   *target.Usage `json:"usage,omitempty"`
}

// choice is one of a response's alternatives.
type choice struct {
	Delta   *delta `json:"delta,omitempty"`
	Message *delta `json:"message,omitempty"`
	Text    string `json:"text,omitempty"`
}

// delta is a piece of text.
type delta struct {
	Content string `json:"content"`
}

// plainWord is the word that the output consists of without Options.Echo.
const plainWord = "word"

// word returns the word that the output consists of: the prompt's last word if
// echo is set and the prompt isn't empty, else plainWord.
func (b *completionBody) word(echo bool) string {
	words := strings.Fields(b.Prompt)
	for _, m := range b.Messages {
		words = append(words, strings.Fields(m.Content)...)
	}
	if !echo || len(words) == 0 {
		return plainWord
	}
	return words[len(words)-1]
}

// tokenText returns the n-th token of the output.
func tokenText(word string, n int) string { return word + strconv.Itoa(n) + " " }

// tokenEvent returns the event with the n-th token.
func tokenEvent(word string, n int) string {
	return encode(chunk{Choices: []choice{{Delta: &delta{Content: tokenText(word, n)}}}})
}

// usageEvent returns the event with the token counts, which precedes the end
// marker.
func usageEvent(promptTokens, outputTokens int) string {
	return encode(chunk{Choices: []choice{}, Usage: newUsage(promptTokens, outputTokens)})
}

// newUsage returns the token counts of one response.
func newUsage(promptTokens, outputTokens int) *target.Usage {
	return &target.Usage{
		PromptTokens:     uint64(promptTokens),
		CompletionTokens: uint64(outputTokens),
		TotalTokens:      uint64(promptTokens + outputTokens),
	}
}

// encode returns the JSON encoding of v. It panics on failure, which can't occur
// with the types of this package.
func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic("engine: encode: " + err.Error())
	}
	return string(text)
}

// writeJSON sends v as a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(encode(v)))
}

// parseAfter parses the ID of the last event that the client has received. An empty
// text means 0.
func parseAfter(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// sendStream sends the events of a stream until it is done or the connection is
// closed. It skips the first sent events, which the client already has.
func sendStream(w http.ResponseWriter, r *http.Request, s *stream, sent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for {
		events, done, changed := s.after(sent)
		for _, data := range events {
			sent++
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent, data); err != nil {
				return
			}
		}
		if controller.Flush() != nil || done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// sendBody waits for the end of the stream and sends the output as one body. It
// cancels the generation if the client disconnects first, and aborts the
// connection if the generation was canceled.
func (e *Engine) sendBody(w http.ResponseWriter, r *http.Request, s *stream, body completionBody) {
	for {
		_, done, changed := s.after(0)
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			s.cancel()
			return
		}
	}
	if !s.complete() {
		panic(http.ErrAbortHandler)
	}
	tokens := body.tokens(e.opts.DefaultTokens)
	word := body.word(e.opts.Echo)
	var text strings.Builder
	for n := range tokens {
		text.WriteString(tokenText(word, n))
	}
	writeJSON(w, chunk{
		Choices: []choice{{Message: &delta{Content: text.String()}, Text: text.String()}},
		Usage:   newUsage(body.promptTokens(), tokens),
	})
}
