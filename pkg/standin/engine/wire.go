package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// completionBody is the part of a request that the stand-in reads.
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

// tokens returns the answer's length.
func (b *completionBody) tokens(fallback int) int {
	if b.MaxTokens > 0 {
		return b.MaxTokens
	}
	return fallback
}

// promptTokens counts the prompt's words.
func (b *completionBody) promptTokens() int {
	n := len(strings.Fields(b.Prompt))
	for _, m := range b.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []choice      `json:"choices"`
	Usage   *target.Usage `json:"usage,omitempty"`
}

// choice is one alternative of an answer.
type choice struct {
	Delta   *delta `json:"delta,omitempty"`
	Message *delta `json:"message,omitempty"`
	Text    string `json:"text,omitempty"`
}

// delta is a piece of text.
type delta struct {
	Content string `json:"content"`
}

// plainWord is what answers are made of.
const plainWord = "word"

// word returns what the answer is made of.
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

// tokenText is the n-th token of an answer.
func tokenText(word string, n int) string { return word + strconv.Itoa(n) + " " }

// tokenEvent is the event of the n-th token.
func tokenEvent(word string, n int) string {
	return encode(chunk{Choices: []choice{{Delta: &delta{Content: tokenText(word, n)}}}})
}

// usageEvent is the event before the end marker.
func usageEvent(promptTokens, outputTokens int) string {
	return encode(chunk{Choices: []choice{}, Usage: usageOf(promptTokens, outputTokens)})
}

// usageOf returns the counts of one answer.
func usageOf(promptTokens, outputTokens int) *target.Usage {
	return &target.Usage{
		PromptTokens:     uint64(promptTokens),
		CompletionTokens: uint64(outputTokens),
		TotalTokens:      uint64(promptTokens + outputTokens),
	}
}

// encode returns a value's JSON. The stand-in's own types always have one.
func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic("engine: encode: " + err.Error())
	}
	return string(text)
}

// writeJSON sends a whole answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(encode(v)))
}

// parseAfter reads the last event's id.
func parseAfter(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// sendStream sends a stream's events from the given place to its end, or until
// the connection is gone.
func sendStream(w http.ResponseWriter, r *http.Request, s *stream, sent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for {
		events, done, grown := s.after(sent)
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
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

// sendWhole waits for the whole answer and sends it as one body.
func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, s *stream, body completionBody) {
	for {
		_, done, grown := s.after(0)
		if done {
			break
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			s.cancel()
			return
		}
	}
	if !s.whole() {
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
		Usage:   usageOf(body.promptTokens(), tokens),
	})
}
