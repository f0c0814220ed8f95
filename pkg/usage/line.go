package usage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// subject is what the figures are summed by.
type subject struct {
	Workspace ident.Workspace
	Model     ident.Model
	Service   ident.Service
	// UsedIn is the start of the window in which the use took place.
	UsedIn Stamp
}

// figures are the sums of one subject.
type figures struct {
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
}

// sums holds figures by subject.
type sums map[subject]figures

// add adds figures to a subject's.
func (s sums) add(to subject, more figures) {
	have := s[to]
	have.Requests += more.Requests
	have.PromptTokens += more.PromptTokens
	have.OutputTokens += more.OutputTokens
	s[to] = have
}

// addAll adds every line.
func (s sums) addAll(lines []Line) {
	for _, line := range lines {
		s.add(line.subject, line.figures)
	}
}

// Line is the figures of one subject.
type Line struct {
	subject
	figures
}

// lines returns the sums in a fixed order.
func (s sums) lines() []Line {
	lines := make([]Line, 0, len(s))
	for subject, figures := range s {
		lines = append(lines, Line{subject: subject, figures: figures})
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

// compareLines orders lines as reports do.
func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.UsedIn, b.UsedIn),
	)
}

// report returns the line as the platform takes it.
func (l *Line) report() external.UsageLine {
	return external.UsageLine{
		Workspace: l.Workspace, Model: l.Model, Service: l.Service, UsedIn: l.UsedIn.Time(),
		Requests: l.Requests, PromptTokens: l.PromptTokens, OutputTokens: l.OutputTokens,
	}
}

// Shards is how many parts the workspaces are reported in.
const Shards = 4

// shardOf returns the part that a workspace belongs to.
func shardOf(workspace ident.Workspace) int {
	return int(xxhash.Sum64String(string(workspace)) % Shards)
}
