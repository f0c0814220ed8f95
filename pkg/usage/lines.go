package usage

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// lineKey is what the figures of one window are summed by.
type lineKey struct {
	workspace ident.Workspace
	model     ident.Model
	service   ident.Service
}

// lineSums holds the sums of one window.
type lineSums map[lineKey]*platform.UsageLine

// add counts one record.
func (s lineSums) add(window time.Time, record Record) {
	key := lineKey{workspace: record.Workspace, model: record.Model, service: record.Service}
	line := s[key]
	if line == nil {
		line = &platform.UsageLine{Workspace: key.workspace, Model: key.model, Service: key.service, UsedIn: window}
		s[key] = line
	}
	line.Requests++
	line.PromptTokens += record.Figures.PromptTokens
	line.OutputTokens += record.Figures.OutputTokens
}

// sorted returns the lines in the order that reports use.
func (s lineSums) sorted() []platform.UsageLine {
	lines := make([]platform.UsageLine, 0, len(s))
	for _, line := range s {
		lines = append(lines, *line)
	}
	slices.SortFunc(lines, func(a, b platform.UsageLine) int {
		return cmp.Or(
			cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Service, b.Service),
			a.UsedIn.Compare(b.UsedIn),
		)
	})
	return lines
}
