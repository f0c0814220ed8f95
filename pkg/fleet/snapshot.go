package fleet

import (
	"maps"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Snapshot is an immutable view of all targets at one moment.
type Snapshot struct {
	// Targets are sorted by name.
	Targets   []TargetState
	byModel   map[ident.Model][]int
	byName    map[ident.Target]int
	byService map[ident.Service][]int
}

// NewSnapshot returns a snapshot of the targets, which must be sorted by name.
func NewSnapshot(targets []TargetState) *Snapshot {
	s := &Snapshot{
		Targets:   targets,
		byModel:   make(map[ident.Model][]int),
		byName:    make(map[ident.Target]int, len(targets)),
		byService: make(map[ident.Service][]int),
	}
	for i := range targets {
		record := &targets[i].Record
		s.byName[record.Target] = i
		if record.Service != "" {
			s.byService[record.Service] = append(s.byService[record.Service], i)
			continue
		}
		s.byModel[record.Model] = append(s.byModel[record.Model], i)
	}
	return s
}

// Target returns one target's state, or nil.
func (s *Snapshot) Target(name ident.Target) *TargetState {
	i, ok := s.byName[name]
	if !ok {
		return nil
	}
	return &s.Targets[i]
}

// Model returns the indexes in Targets of the model's engines.
func (s *Snapshot) Model(model ident.Model) []int { return s.byModel[model] }

// Models returns the models that engines serve, sorted.
func (s *Snapshot) Models() []ident.Model { return slices.Sorted(maps.Keys(s.byModel)) }

// Service returns the indexes in Targets of the service's replicas.
func (s *Snapshot) Service(service ident.Service) []int { return s.byService[service] }

// Pool returns the indexes in Targets of the pool's targets.
func (s *Snapshot) Pool(pool ident.Pool) []int {
	if pool.Service != "" {
		return s.byService[pool.Service]
	}
	return s.byModel[pool.Model]
}

// Pools returns the pools that have targets, in the order of ident.ComparePools.
func (s *Snapshot) Pools() []ident.Pool {
	pools := make([]ident.Pool, 0, len(s.byModel)+len(s.byService))
	for model := range s.byModel {
		pools = append(pools, ident.Pool{Model: model})
	}
	for service := range s.byService {
		pools = append(pools, ident.Pool{Service: service})
	}
	slices.SortFunc(pools, ident.ComparePools)
	return pools
}
