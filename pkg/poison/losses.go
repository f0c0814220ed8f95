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

// maxLoggedRequests bounds the fingerprints in a log line.
const maxLoggedRequests = 8

// confirmDelays are the times after a lost connection, each after the one before, at
// which the target is checked: one that ends may close its connections shortly before
// its listener.
var confirmDelays = [...]time.Duration{20 * time.Millisecond, 100 * time.Millisecond}

// pendingCrash are the requests that were lost at a target that may have ended.
type pendingCrash struct {
	Crash
	target ident.Target
	// lost counts the requests, parts the parts of their prompts, and logged holds the
	// fingerprints of the first requests.
	lost, parts int
	logged      []string
	// waiting receive whether the target has ended.
	waiting []chan<- bool
}

// add adds a request and the parts of its prompt, unless a target answered them shortly
// before.
func (p *pendingCrash) add(fingerprint request.Fingerprint, prompt Prompt, answered func(Key) bool) {
	p.lost++
	if len(p.logged) < maxLoggedRequests {
		p.logged = append(p.logged, fingerprint.String())
	}
	prompt.Own ^= uint64(fingerprint)
	prompt.Parts = slices.DeleteFunc(slices.Clone(prompt.Parts), func(part uint64) bool { return answered(partKey(part)) })
	if len(prompt.Parts) > 0 && len(p.Lost) < maxLost && p.parts+len(prompt.Parts) <= maxParts {
		p.Lost = append(p.Lost, prompt)
		p.parts += len(prompt.Parts)
	}
	again := slices.Contains(p.Requests, uint64(fingerprint))
	if !again && len(p.Requests) < maxLost && !answered(requestKey(uint64(fingerprint))) {
		p.Requests = append(p.Requests, uint64(fingerprint))
	}
}

// Lost records that the connection to a target was lost before it had answered a
// request. It counts once the target refuses a connection or closes it immediately: the
// answer alone may have been lost too. The channel, unless nil, receives whether it has
// ended. await is set if the request may become suspect by that.
func (d *Detector) Lost(req *request.Request, name ident.Target, address string) (ended <-chan bool, await bool) {
	incarnation, ok := d.opts.Incarnation(name)
	if !ok {
		return nil, false
	}
	fingerprint := req.Fingerprint()
	key := hashIncarnation(name, incarnation)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	pending := d.pending[key]
	if pending == nil {
		if len(d.pending) >= maxPending {
			return nil, false
		}
		pending = &pendingCrash{Crash: Crash{Incarnation: key, At: now.UnixMilli()}, target: name}
		d.pending[key] = pending
		go d.confirm(key, address)
	}
	pending.add(fingerprint, promptOf(req), func(answered Key) bool {
		return now.UnixMilli()-d.table.answered[answered] < answerRecent.Milliseconds()
	})
	decided := make(chan bool, 1)
	pending.waiting = append(pending.waiting, decided)
	return decided, d.table.nearlySuspect(requestKey(uint64(fingerprint)))
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
	defer func() {
		for _, waiting := range crash.waiting {
			waiting <- ended
		}
	}()
	if !ended {
		return
	}
	d.opts.Log.Warn("target ended under requests", "target", crash.target, "incarnation", crash.Incarnation, "lost", crash.lost, "requests", crash.logged)
	if len(crash.keys()) == 0 {
		return
	}
	fresh, answers := d.merge(&Evidence{Crashes: []Crash{crash.Crash}}, true)
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
