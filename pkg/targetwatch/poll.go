package targetwatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// errNoAnswer says that a target did not answer a question.
var errNoAnswer = fault.New(fault.Unavailable, "a target did not answer a question on its load", "see whether the target runs")

// askLoad asks a target for its load.
func (w *Watcher) askLoad(ctx context.Context, record external.TargetRecord) (fleet.LoadReport, error) {
	var report fleet.LoadReport
	err := w.get(ctx, record, target.PathLoad, &report)
	report.Target = record.Target
	return report, err
}

// askEvents asks a target for its cache events after a sequence.
func (w *Watcher) askEvents(ctx context.Context, record external.TargetRecord, after uint64) ([]fleet.CacheEvent, error) {
	var events []fleet.CacheEvent
	err := w.get(ctx, record, target.PathEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events[max(len(events)-maxEvents, 0):], err
}

// get reads a JSON answer of a target.
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
	answer, err := w.opts.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, errNoAnswer.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errNoAnswer
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(value)
}
