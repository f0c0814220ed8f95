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

// maxLoggedRequests bounds the fingerprints in a log line.
const maxLoggedRequests = 8

// pendingCrash are the requests that were lost at a target that may have ended.
type pendingCrash struct {
	Crash
	target ident.Target
	// lost counts the requests, and requests holds the fingerprints of the first ones.
	lost     int
	requests []string
}

// add adds a request and its prompt, unless the latter has no parts.
func (p *pendingCrash) add(req *request.Request, prompt Prompt) {
	p.lost++
	if len(p.requests) < maxLoggedRequests {
		p.requests = append(p.requests, req.Fingerprint().String())
	}
	if len(prompt.Parts) > 0 && len(p.Lost) < maxLost {
		p.Lost = append(p.Lost, prompt)
	}
}

// Lost records that the connection to a target was lost before it had answered a
// request. It counts once the target refuses a connection or closes it at once: the
// answer alone may have been lost too.
func (d *Detector) Lost(req *request.Request, name ident.Target, address string) {
	prompt, _ := promptOf(req)
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
	pending := d.pending[key]
	if pending == nil {
		if len(d.pending) >= maxPending {
			return
		}
		pending = &pendingCrash{Crash: Crash{Incarnation: key, At: now.UnixMilli()}, target: name}
		d.pending[key] = pending
		go d.confirm(key, address)
	}
	pending.add(req, prompt)
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
	d.opts.Log.Warn("target ended under requests", "target", crash.target, "incarnation", crash.Incarnation, "lost", crash.lost, "requests", crash.requests)
	if len(crash.Lost) == 0 {
		return
	}
	fresh, answers := d.merge(&Evidence{Crashes: []Crash{crash.Crash}})
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
