package ledger

import (
	"encoding/json"
	"net/http"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// Ledger holds balances by item. It implements http.Handler.
type Ledger struct {
	mux *http.ServeMux

	mu       sync.Mutex
	balances map[string]int64
	posts    int
	// runs counts the adjustments by item and the marks by idempotency key.
	runs map[string]int
}

// Adjustment is the body of a request to change a balance.
type Adjustment struct {
	Item   string `json:"item"`
	Amount int64  `json:"amount"`
}

// Balance is the response to adjustments, marks and reads.
type Balance struct {
	Item    string `json:"item"`
	Balance int64  `json:"balance"`
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{mux: http.NewServeMux(), balances: make(map[string]int64), runs: make(map[string]int)}
	l.mux.HandleFunc("POST /adjustments", l.adjust)
	l.mux.HandleFunc("POST /marks", l.mark)
	l.mux.HandleFunc("GET /balances/{item}", l.balance)
	return l
}

// ServeHTTP serves one request and returns its attempt's ID in the response
// header.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	l.mux.ServeHTTP(w, r)
}

// Posts returns the number of adjustments made so far.
func (l *Ledger) Posts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.posts
}

// Runs returns how often an item was adjusted or an idempotency key marked.
func (l *Ledger) Runs(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[name]
}

// mark counts calls by idempotency key and reads no body. It doesn't deduplicate
// by key, so that tests can detect repeated calls.
func (l *Ledger) mark(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get("Idempotency-Key")
	l.mu.Lock()
	l.runs[name]++
	l.mu.Unlock()
	writeJSON(w, Balance{Item: name})
}

// adjust posts one adjustment.
func (l *Ledger) adjust(w http.ResponseWriter, r *http.Request) {
	var adjustment Adjustment
	if err := json.NewDecoder(r.Body).Decode(&adjustment); err != nil {
		http.Error(w, "malformed adjustment", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.posts++
	l.runs[adjustment.Item]++
	l.balances[adjustment.Item] += adjustment.Amount
	balance := Balance{Item: adjustment.Item, Balance: l.balances[adjustment.Item]}
	l.mu.Unlock()
	writeJSON(w, balance)
}

// balance serves one balance.
func (l *Ledger) balance(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	l.mu.Lock()
	balance := Balance{Item: item, Balance: l.balances[item]}
	l.mu.Unlock()
	writeJSON(w, balance)
}

// writeJSON sends a balance.
func writeJSON(w http.ResponseWriter, balance Balance) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the connection is closed, so the error can't be
	// reported.
	_ = json.NewEncoder(w).Encode(balance)
}
