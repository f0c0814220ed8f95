package poison

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// dialTimeout bounds a connection to a target that may have ended. A target that
	// leaves the connection open for openTime has not.
	dialTimeout = 250 * time.Millisecond
	openTime    = 100 * time.Millisecond
	// maxPending bounds the targets that are checked at the same time.
	maxPending = 64
)

// confirmDelays are the times after a lost connection, each after the one before, at
// which the target is checked: one that ends may close its connections shortly before
// its listener.
var confirmDelays = [...]time.Duration{20 * time.Millisecond, 100 * time.Millisecond}

// Lost records that the connection to a target was lost before it had answered a
// request. It counts once the target refuses a connection or closes it at once: the
// answer alone may have been lost too.
func (d *Detector) Lost(req *request.Request, name ident.Target, address string) {
	prompt, ok := promptOf(req)
	if !ok {
		return
	}
	incarnation, ok := d.opts.Incarnation(name)
	if !ok {
		return
	}
	key := hashIncarnation(name, incarnation)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	prompt.Parts = slices.DeleteFunc(slices.Clone(prompt.Parts), func(part uint64) bool {
		return now.UnixMilli()-d.table.answered[part] < answerRecent.Milliseconds()
	})
	if len(prompt.Parts) == 0 {
		return
	}
	if pending := d.pending[key]; pending != nil {
		if len(pending.Lost) < maxLost {
			pending.Lost = append(pending.Lost, prompt)
		}
		return
	}
	if len(d.pending) >= maxPending {
		return
	}
	d.pending[key] = &Crash{Incarnation: key, At: now.UnixMilli(), Lost: []Prompt{prompt}}
	go d.confirm(key, address)
}

// confirm adds the pending crash of a target to the evidence if the target refuses a
// connection, and drops it otherwise.
func (d *Detector) confirm(key uint64, address string) {
	ended := false
	for _, delay := range confirmDelays {
		time.Sleep(delay)
		if ended = d.refuses(address); ended {
			break
		}
	}
	d.mu.Lock()
	crash := d.pending[key]
	delete(d.pending, key)
	d.mu.Unlock()
	if !ended {
		return
	}
	fresh, answers := d.merge(&Evidence{Crashes: []Crash{*crash}})
	fresh.Answers = append(fresh.Answers, answers.Answers...)
	if !fresh.empty() {
		d.opts.Send(&fresh)
	}
}

// refuses reports whether no connection to an address can be made, or one is closed at
// once, as by a proxy in front of a target that has ended.
func (d *Detector) refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	connection, err := d.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return true
	}
	defer func() { _ = connection.Close() }()
	if connection.SetReadDeadline(time.Now().Add(openTime)) != nil {
		return true
	}
	_, err = connection.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
