package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// maxControlBytes bounds the response to a control call.
const maxControlBytes = 1 << 20

// Control makes the calls to targets that don't serve a caller's request: it sends
// orders and reads load reports and cache events.
type Control struct {
	client     *Client
	credential string
}

// NewControl returns a Control that sends its calls by client. The credential
// authenticates the daemons to the targets and may be empty.
func NewControl(client *Client, credential string) *Control {
	return &Control{client: client, credential: credential}
}

// Send sends an order once. It fails with kind Unknown if the order may have
// arrived, Fenced if the engine refused its fencing token, Unavailable if it did
// not arrive, and Invalid if the engine refused it for another reason.
func (c *Control) Send(ctx context.Context, engine external.TargetRecord, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fmt.Sprintf("order %s for engine %s can't be encoded", order.OrderID, engine.Target), "report this as a bug")
	}
	response, trace, err := c.exchange(ctx, engine, http.MethodPost, PathOrders, body, ReuseRecent)
	if err != nil {
		if trace != nil && trace.Abort() {
			return fault.Wrap(err, fault.Unknown, fmt.Sprintf("engine %s did not answer order %s", engine.Target, order.OrderID), "no action is needed unless the order stays open")
		}
		return fault.Wrap(err, fault.Unavailable, fmt.Sprintf("engine %s could not be reached", engine.Target), "check that it is running and reachable")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := responsecheck.ReadAll(response.Body, maxControlBytes); err != nil {
		return fault.Wrap(err, fault.Unknown, fmt.Sprintf("the response of engine %s to order %s is not whole", engine.Target, order.OrderID), "no action is needed unless the order stays open")
	}
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		return nil
	case response.StatusCode == http.StatusConflict:
		return fault.New(fault.Fenced, fmt.Sprintf("engine %s refused the fencing token of order %s", engine.Target, order.OrderID), "another host holds the duty; no action is needed unless this repeats")
	case response.StatusCode < http.StatusInternalServerError:
		return fault.New(fault.Invalid, fmt.Sprintf("engine %s refused order %s with status %s", engine.Target, order.OrderID, response.Status), "check the engine's log")
	}
	return fault.New(fault.Unknown, fmt.Sprintf("engine %s answered order %s with status %s", engine.Target, order.OrderID, response.Status), "check the engine's log if the order stays open")
}

// Report returns a target's load report.
func (c *Control) Report(ctx context.Context, record external.TargetRecord) (fleet.LoadReport, error) {
	var report fleet.LoadReport
	err := c.get(ctx, record, PathLoad, &report)
	return report, err
}

// Events returns an engine's cache events after the given sequence number.
func (c *Control) Events(ctx context.Context, record external.TargetRecord, after uint64) ([]fleet.CacheEvent, error) {
	var events []fleet.CacheEvent
	err := c.get(ctx, record, PathEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// get decodes the JSON response to a GET request. It fails with kind Unavailable.
func (c *Control) get(ctx context.Context, record external.TargetRecord, path string, result any) error {
	response, _, err := c.exchange(ctx, record, http.MethodGet, path, nil, ReuseAny)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, fmt.Sprintf("target %s did not answer %s", record.Target, path), "check that it is running and reachable")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, fmt.Sprintf("target %s answered %s with status %s", record.Target, path, response.Status), "check the target's log")
	}
	if err := responsecheck.DecodeJSON(response.Body, maxControlBytes, result); err != nil {
		return fault.Wrap(err, fault.Unavailable, fmt.Sprintf("the response of target %s to %s is malformed", record.Target, path), "check that it runs a compatible version")
	}
	return nil
}

// exchange sends one request with a JSON body.
func (c *Control) exchange(ctx context.Context, record external.TargetRecord, method, path string, body []byte, reuse Reuse) (*http.Response, *Trace, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+record.Address+path, NewBody(bytes.NewReader(body)))
	if err != nil {
		return nil, nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	if c.credential != "" {
		r.Header.Set(HeaderCredential, c.credential)
	}
	return c.client.Do(r, reuse)
}
