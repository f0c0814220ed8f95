package ident

import "cmp"

// Pool identifies the targets that run the same requests: the engines of a model or the
// replicas of a plain service. One of the fields is set.
type Pool struct {
	Model   Model
	Service Service
}

// String returns the name of the model or the service.
func (p Pool) String() string { return cmp.Or(string(p.Model), string(p.Service)) }

// ComparePools orders models by name, and services by name after them.
func ComparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
}
