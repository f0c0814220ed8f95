package targetwatch

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// errPollFailed is returned if a target answers a poll with another status than
// 200.
var errPollFailed = fault.New(fault.Unavailable, "the target answered a poll with another status than 200", "check the target's log")

// fetchLoad returns a target's load report.
func (w *Watcher) fetchLoad(ctx context.Context, record external.TargetRecord) (fleet.LoadReport, error) {
	var report fleet.LoadReport
	err := w.get(ctx, record, target.PathLoad, &report)
	report.Target = record.Target
	return report, err
}

// fetchEvents returns a target's cache events after a sequence number, at most the
// newest maxEvents of them.
func (w *Watcher) fetchEvents(ctx context.Context, record external.TargetRecord, after uint64) ([]fleet.CacheEvent, error) {
	var events []fleet.CacheEvent
	err := w.get(ctx, record, target.PathEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events[max(len(events)-maxEvents, 0):], err
}

// get decodes a target's JSON response to a GET request.
func (w *Watcher) get(ctx context.Context, record external.TargetRecord, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+record.Address+path, http.NoBody)
	if err != nil {
		return err
	}
	if w.opts.Credential != "" {
		request.Header.Set(target.HeaderCredential, w.opts.Credential)
	}
	response, err := w.opts.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "poll the target")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errPollFailed
	}
	return responsecheck.DecodeJSON(response.Body, maxResponseBytes, value)
}
