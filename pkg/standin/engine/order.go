package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// control is the part of an engine's state that orders change. It is guarded by
// Engine.mu.
type control struct {
	orders      []target.Order
	role        fleet.Role
	version     string
	fencing     ident.FencingToken
	orderID     string
	incarnation ident.Incarnation
	// unavailableUntil is the end of the last change or restart; until then the
	// engine is unavailable.
	unavailableUntil time.Time
}

// newControl returns the state of an engine before its first order.
func newControl(version string) control {
	return control{role: fleet.Mixed, version: version, incarnation: 1}
}

// Orders returns the accepted orders, repeats included.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.control.orders...)
}

// Crash restarts the engine. The role is reset to mixed. The version, the last
// order's ID and all streams are lost. The highest fencing token seen is kept. The
// engine is unavailable for ChangeTime.
func (e *Engine) Crash() {
	e.DropStreams()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.control.role, e.control.orderID, e.control.version = fleet.Mixed, "", ""
	e.control.incarnation++
	e.control.unavailableUntil = time.Now().Add(e.opts.ChangeTime)
}

// unavailable reports whether a request for path must fail because a change or
// restart is in progress. Orders are accepted all the same.
func (e *Engine) unavailable(path string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return path != target.PathOrders && time.Now().Before(e.control.unavailableUntil)
}

// order handles one order. It responds with 409 to an outdated fencing token if the
// engine checks fencing, and with 404 if a KV cache can't be imported.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if order.Kind == target.OrderImport {
		if err := e.importCache(r.Context(), order); err != nil {
			http.Error(w, "the KV cache can't be imported from the peer", http.StatusNotFound)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.apply(order) {
		http.Error(w, "a higher fencing token was seen", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply applies an order and reports whether it was accepted. A repeat of the
// last order changes nothing. Exports and imports of a KV cache belong to a
// request and have no fencing token.
func (e *Engine) apply(order target.Order) bool {
	c := &e.control
	isTransfer := order.Kind == target.OrderExport || order.Kind == target.OrderImport
	if !isTransfer && e.opts.ChecksFencing && order.Fencing < c.fencing {
		return false
	}
	c.orders = append(c.orders, order)
	if isTransfer {
		return true
	}
	c.fencing = max(c.fencing, order.Fencing)
	if order.OrderID == c.orderID {
		return true
	}
	c.orderID = order.OrderID
	switch order.Kind {
	case target.OrderRole:
		c.role = order.Role
		c.unavailableUntil = time.Now().Add(e.opts.ChangeTime)
	case target.OrderLoad:
		c.version = order.Version
		c.unavailableUntil = time.Now().Add(e.opts.ChangeTime)
	case target.OrderAdapter, target.OrderExport, target.OrderImport:
	}
	return true
}

// load serves the engine's load report.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.sequence++
	report := fleet.LoadReport{
		Target:          e.opts.Target,
		Incarnation:     e.control.incarnation,
		Sequence:        e.sequence,
		Role:            e.control.role,
		Running:         len(e.slots),
		Queued:          e.queued,
		Slots:           e.opts.Slots,
		OrderID:         e.control.orderID,
		Fencing:         e.control.fencing,
		Model:           e.opts.Model,
		Version:         e.control.version,
		ComputedTokens:  e.computed.Load(),
		GeneratedTokens: e.generated.Load(),
		PrefillRate:     e.opts.PrefillRate,
		DecodeRate:      float64(time.Second) / float64(max(e.opts.TokenInterval, 1)),
		TakenAt:         time.Now(),
	}
	e.mu.Unlock()
	writeJSON(w, report)
}
