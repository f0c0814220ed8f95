package usage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// lineKey is the key by which usage is aggregated.
type lineKey struct {
	Workspace ident.Workspace
	Model     ident.Model
	Service   ident.Service
	// UsedIn is the start of the window in which the usage occurred.
	UsedIn Timestamp
}

// counts are the aggregated counts of one key.
type counts struct {
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
}

// totals holds the counts by key.
type totals map[lineKey]counts

// add adds delta to the counts of a key.
func (t totals) add(key lineKey, delta counts) {
	sum := t[key]
	sum.Requests += delta.Requests
	sum.PromptTokens += delta.PromptTokens
	sum.OutputTokens += delta.OutputTokens
	t[key] = sum
}

// addAll adds the counts of all lines.
func (t totals) addAll(lines []Line) {
	for _, line := range lines {
		t.add(line.lineKey, line.counts)
	}
}

// Line is a key with its counts.
type Line struct {
	lineKey
	counts
}

// lines returns the totals as sorted lines.
func (t totals) lines() []Line {
	lines := make([]Line, 0, len(t))
	for key, counts := range t {
		lines = append(lines, Line{lineKey: key, counts: counts})
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

// compareLines orders lines by workspace, model, service and window of use.
func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.UsedIn, b.UsedIn),
	)
}

// report returns the line in the format of the platform.
func (l *Line) report() external.UsageLine {
	return external.UsageLine{
		Workspace: l.Workspace, Model: l.Model, Service: l.Service, UsedIn: l.UsedIn.Time(),
		Requests: l.Requests, PromptTokens: l.PromptTokens, OutputTokens: l.OutputTokens,
	}
}

// Shards is the number of shards into which workspaces are divided for
// reporting.
const Shards = 4

// shardOf returns the shard of a workspace.
func shardOf(workspace ident.Workspace) int {
	return int(xxhash.Sum64String(string(workspace)) % Shards)
}
