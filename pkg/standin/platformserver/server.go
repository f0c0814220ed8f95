package platformserver

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// New returns a handler that serves the platform's calls.
func New(systems Systems) http.Handler {
	mux := http.NewServeMux()
	addStore(mux, systems.Store)
	handle(mux, wire.PathReport, func(ctx context.Context, report external.UsageReport) (wire.Empty, error) {
		return wire.Empty{}, systems.Usage.Report(ctx, report)
	})
	handle(mux, wire.PathOrder, func(ctx context.Context, order external.TargetOrder) (wire.Empty, error) {
		return wire.Empty{}, systems.Targets.Order(ctx, order)
	})
	handle(mux, wire.PathOrders, func(ctx context.Context, _ wire.Empty) (wire.OrderList, error) {
		orders, err := systems.Targets.Orders(ctx)
		return wire.OrderList{Orders: orders}, err
	})
	handle(mux, wire.PathTargets, func(ctx context.Context, _ wire.Empty) (wire.TargetList, error) {
		records, err := systems.Targets.Targets(ctx)
		return wire.TargetList{Targets: records}, err
	})
	handle(mux, wire.PathHosts, func(ctx context.Context, _ wire.Empty) (wire.HostList, error) {
		hosts, err := systems.Hosts.Hosts(ctx)
		return wire.HostList{Hosts: hosts}, err
	})
	handle(mux, wire.PathReserve, func(ctx context.Context, message wire.ReserveRequest) (wire.ReserveResponse, error) {
		wait, err := systems.Weights.Reserve(ctx, message.Model)
		return wire.ReserveResponse{Wait: wait}, err
	})
	addControls(mux, systems)
	return mux
}

// addControls adds the calls that control and inspect the simulated platform.
func addControls(mux *http.ServeMux, systems Systems) {
	handle(mux, wire.PathReports, func(context.Context, wire.Empty) (wire.ReportList, error) {
		return wire.ReportList{Reports: systems.Reports()}, nil
	})
	handle(mux, wire.PathSetHosts, func(_ context.Context, message wire.HostList) (wire.Empty, error) {
		systems.SetHosts(message.Hosts)
		return wire.Empty{}, nil
	})
	handle(mux, wire.PathReclaim, func(_ context.Context, message wire.ReclaimRequest) (wire.Empty, error) {
		systems.Reclaim(message.FailureDomain, message.Notice)
		return wire.Empty{}, nil
	})
	handle(mux, wire.PathFaults, func(_ context.Context, message wire.FaultsRequest) (wire.Empty, error) {
		systems.SetFaults(faultstore.Faults{Down: message.Down, Delay: message.Delay, SilentWatches: message.SilentWatches})
		return wire.Empty{}, nil
	})
}

// addStore adds the store's calls.
func addStore(mux *http.ServeMux, store external.Store) {
	handle(mux, wire.PathGet, func(ctx context.Context, message wire.KeyRequest) (external.Entry, error) {
		return store.Get(ctx, message.Key)
	})
	handle(mux, wire.PathList, func(ctx context.Context, message wire.KeyRequest) (wire.EntryList, error) {
		entries, err := store.List(ctx, message.Key)
		return wire.EntryList{Entries: entries}, err
	})
	handle(mux, wire.PathSwap, func(ctx context.Context, swap external.Swap) (wire.VersionResponse, error) {
		version, err := store.CompareAndSwap(ctx, swap)
		return wire.VersionResponse{Version: version}, err
	})
	handle(mux, wire.PathDelete, func(ctx context.Context, message wire.DeleteRequest) (wire.Empty, error) {
		return wire.Empty{}, store.Delete(ctx, message.Key, message.Version)
	})
	handle(mux, wire.PathGrant, func(ctx context.Context, message wire.GrantRequest) (wire.LeaseMessage, error) {
		lease, err := store.Grant(ctx, message.TTL)
		return wire.LeaseMessage{Lease: lease}, err
	})
	handle(mux, wire.PathKeepAlive, func(ctx context.Context, message wire.LeaseMessage) (wire.Empty, error) {
		return wire.Empty{}, store.KeepAlive(ctx, message.Lease)
	})
	handle(mux, wire.PathRevoke, func(ctx context.Context, message wire.LeaseMessage) (wire.Empty, error) {
		return wire.Empty{}, store.Revoke(ctx, message.Lease)
	})
	handle(mux, wire.PathWatch, func(ctx context.Context, message wire.WatchRequest) (external.Changes, error) {
		ctx, cancel := context.WithTimeout(ctx, message.Wait)
		defer cancel()
		return store.Watch(ctx, message.Prefix, message.After)
	})
}

// handle adds a call: a POST with a JSON request and a JSON response.
func handle[Request, Response any](mux *http.ServeMux, path string, call func(context.Context, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			fail(w, fault.Wrap(err, fault.Invalid, "the body of a call to "+path+" is malformed", "send the JSON message of this call"))
			return
		}
		response, err := call(r.Context(), request)
		if err != nil {
			fail(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the connection is closed, so the error can't be
		// reported.
		_ = json.NewEncoder(w).Encode(response)
	})
}

// fail responds with an error and the HTTP status of its kind.
func fail(w http.ResponseWriter, err error) {
	failure := wire.Failure{Kind: fault.KindOf(err), Reason: err.Error()}
	var typed *fault.Error
	if errors.As(err, &typed) {
		failure.Reason = typed.Reason
		failure.Remedy = typed.Remedy
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(failure.Kind.HTTPStatus())
	// A failed write means that the connection is closed, so the error can't be
	// reported.
	_ = json.NewEncoder(w).Encode(failure)
}
