package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	id, method, path, host, key string
	deadline                    time.Duration
	body                        string
	prefix, tokens              string
	lastEvent                   int
	resumes                     string
	// first and gap are the longest times until the first event and between two events after
	// which the client abandons a stream. They are unlimited if zero.
	first, gap time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	err    error
	body   string
	header http.Header
	// events, versions and writers describe a stream.
	lastEvent int
	versions  []string
	writers   []string
	whole     bool
}

// newClient returns a client that keeps connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// do sends one client attempt to a machine.
func do(client *http.Client, address string, c call, events int) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	heard := func() {}
	if c.first > 0 {
		abandon := time.AfterFunc(c.first, cancel)
		defer abandon.Stop()
		heard = func() { abandon.Reset(c.gap) }
	}
	var body io.Reader
	if c.body != "" {
		// A body of unknown length keeps net/http from sending the request again by itself.
		body = io.NopCloser(strings.NewReader(c.body))
	}
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, body)
	if err != nil {
		return answer{err: err}
	}
	q.Host = c.host
	q.Header.Set("X-Request-Id", c.id)
	q.Header.Set("Authorization", "Token "+c.key)
	q.Header.Set(word("deadline"), strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.prefix != "" {
		q.Header.Set(word("prompt"), c.prefix)
		q.Header.Set(word("tokens"), c.tokens)
		q.Header.Set("X-Model", "m")
	}
	if c.lastEvent > 0 {
		q.Header.Set("Last-Event-Id", strconv.Itoa(c.lastEvent))
		q.Header.Set("Resumes", c.resumes)
	}
	response, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := answer{status: response.StatusCode, header: response.Header, lastEvent: c.lastEvent}
	if events == 0 || response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		got.body, got.err = string(text), err
		got.whole = err == nil
		return got
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			event, _ := strconv.Atoi(text)
			if event != got.lastEvent+1 {
				got.err = fmt.Errorf("event %d after %d", event, got.lastEvent)
			}
			got.lastEvent = event
			heard()
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			version, writer, _ := strings.Cut(text, " ")
			got.versions = appendNew(got.versions, version)
			got.writers = appendNew(got.writers, writer)
		}
	}
	if lines.Err() != nil {
		got.err = lines.Err()
	}
	got.whole = got.err == nil && got.lastEvent == events
	return got
}

// appendNew appends a text that is not yet the last one.
func appendNew(list []string, text string) []string {
	if len(list) == 0 || list[len(list)-1] != text {
		list = append(list, text)
	}
	return list
}

// patience is how long a client waits for the next event of a stream before it abandons it: a gap
// of two seconds, four times the objective or eight times the longest pause, whichever is longest.
func patience(objective, pause time.Duration) time.Duration {
	return max(2*time.Second, 4*objective, 8*pause)
}

// pauseBefore returns how long a client waits before it tries again: its own pause, or the time
// that the answer names, of which it honours up to a third of the time that it has left.
func pauseBefore(own, left time.Duration, got answer) time.Duration {
	if got.header == nil {
		return own
	}
	seconds, err := strconv.ParseFloat(got.header.Get(word("retryAfter")), 64)
	if err != nil {
		return own
	}
	return max(own, min(left/3, time.Duration(seconds*float64(time.Second))))
}
