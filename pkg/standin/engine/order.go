package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// control is what orders change in an engine. The engine's lock guards it.
type control struct {
	orders      []target.Order
	role        fleet.Role
	version     string
	fencing     ident.Fencing
	orderID     string
	incarnation ident.Incarnation
	// awayUntil is when a change ends.
	awayUntil time.Time
}

// newControl returns the state of an engine that has taken no order.
func newControl(version string) control {
	return control{role: fleet.Mixed, version: version, incarnation: 1}
}

// Orders returns the orders that the engine took.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.control.orders...)
}

// Crash restarts the engine: it is mixed again, has forgotten its orders and
// its streams, and is away as after a change. What it refuses stays.
func (e *Engine) Crash() {
	e.Forget()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.control.role, e.control.orderID, e.control.version = fleet.Mixed, "", ""
	e.control.incarnation++
	e.control.awayUntil = time.Now().Add(e.opts.ChangeTime)
}

// away reports whether a change keeps the engine from answering. Orders are
// taken all the same.
func (e *Engine) away(path string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return path != target.PathOrders && time.Now().Before(e.control.awayUntil)
}

// order takes one order, or refuses an old fencing number where it checks.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if order.Kind == target.OrderImport {
		if err := e.importCache(r.Context(), order); err != nil {
			http.Error(w, "no such cache at the peer", http.StatusNotFound)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.take(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// take carries an order out and reports whether it did. A repeat of the last
// order changes nothing. Moves of a KV cache belong to a request and bear no
// number.
func (e *Engine) take(order target.Order) bool {
	c := &e.control
	moves := order.Kind == target.OrderExport || order.Kind == target.OrderImport
	if !moves && e.opts.ChecksFencing && order.Fencing < c.fencing {
		return false
	}
	c.orders = append(c.orders, order)
	if moves {
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
		c.awayUntil = time.Now().Add(e.opts.ChangeTime)
	case target.OrderLoad:
		c.version = order.Version
		c.awayUntil = time.Now().Add(e.opts.ChangeTime)
	case target.OrderAdapter, target.OrderExport, target.OrderImport:
	}
	return true
}

// load answers the engine's load report.
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
