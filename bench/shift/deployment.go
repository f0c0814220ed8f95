package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// deployment is a fleet and its traffic.
type deployment struct {
	name    string
	model   ident.Model
	service ident.Service
	domains []ident.FailureDomain
	// engines and replicas are the numbers of targets of the model and of the
	// service at the start.
	engines  int
	replicas int
	// dependable is the number of engines that the platform does not reclaim.
	dependable int
	// sizes are the workspaces' shares of the traffic.
	sizes []float64
	kinds []kind
	// before and after are the kinds' shares of the work at a mix of 0 and of 1.
	// They cover the first kinds, those without a perSecond.
	before, after []float64
	// load is the offered work as a share of the fleet's capacity.
	load float64
}

// workspaceSizes are the sizes of eight workspaces, a few of them large.
var workspaceSizes = []float64{0.32, 0.22, 0.16, 0.08, 0.08, 0.06, 0.05, 0.03}

// himalsetu returns a deployment that counts stock: prompts with a long shared
// catalog and a short answer, quick lookups, and a ledger service.
func himalsetu() *deployment {
	return &deployment{
		name: "himalsetu", model: "counting", service: "ledger",
		domains: []ident.FailureDomain{"bagmati-a", "bagmati-b", "bagmati-c", "bagmati-d"},
		engines: 12, replicas: 4, dependable: 4, sizes: workspaceSizes, load: 0.7,
		kinds: []kind{
			{name: "photos", class: ident.ClassInteractive, idempotent: true, shared: 24 << 10, groups: 20, unique: 6000, output: 60, deadline: 10 * time.Second},
			{name: "notes", class: ident.ClassInteractive, idempotent: true, shared: 24 << 10, groups: 20, unique: 700, output: 240, deadline: 20 * time.Second},
			{name: "recount", class: ident.ClassDeferrable, idempotent: true, shared: 24 << 10, groups: 20, unique: 3000, output: 300, deadline: 150 * time.Second},
			{name: "item", class: ident.ClassLookup, idempotent: true, perSecond: 8, unique: 200, output: 8, groups: 1, deadline: 2 * time.Second},
			{name: "balance", class: ident.ClassLookup, idempotent: true, service: "ledger", perSecond: 20, duration: 8 * time.Millisecond, deadline: 500 * time.Millisecond},
			{name: "adjustment", class: ident.ClassInteractive, service: "ledger", perSecond: 12, duration: 15 * time.Millisecond, deadline: 2 * time.Second},
		},
		before: []float64{0.15, 0.6, 0.25}, after: []float64{0.65, 0.1, 0.25},
	}
}

// kivotos returns a deployment for lessons: long lesson plans with a late
// deadline, quick questions, and a service for orders of workbooks.
func kivotos() *deployment {
	return &deployment{
		name: "kivotos", model: "lesson", service: "ordering",
		domains: []ident.FailureDomain{"attica-a", "attica-b", "attica-c", "attica-d"},
		engines: 9, replicas: 4, dependable: 4, sizes: workspaceSizes, load: 0.7,
		kinds: []kind{
			{name: "plan", class: ident.ClassDeferrable, idempotent: true, shared: 4 << 10, groups: 8, unique: 1500, output: 1200, deadline: 240 * time.Second},
			{name: "question", class: ident.ClassInteractive, idempotent: true, shared: 3 << 10, groups: 30, unique: 400, output: 150, deadline: 12 * time.Second},
			{name: "scan", class: ident.ClassInteractive, idempotent: true, shared: 2 << 10, groups: 4, unique: 8000, output: 60, deadline: 8 * time.Second},
			{name: "reading", class: ident.ClassLookup, idempotent: true, perSecond: 6, unique: 200, output: 8, groups: 1, deadline: 2 * time.Second},
			{name: "status", class: ident.ClassLookup, idempotent: true, service: "ordering", perSecond: 20, duration: 8 * time.Millisecond, deadline: 500 * time.Millisecond},
			{name: "order", class: ident.ClassInteractive, service: "ordering", perSecond: 6, duration: 25 * time.Millisecond, deadline: 2 * time.Second},
		},
		before: []float64{0.45, 0.5, 0.05}, after: []float64{0.3, 0.1, 0.6},
	}
}

// deployments returns the deployments that are measured.
func deployments() []*deployment { return []*deployment{himalsetu(), kivotos()} }
