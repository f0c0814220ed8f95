// Package roles plans which engines of a model only prefill (compute prompts),
// which only decode (generate answers), and which do both. The planner is
// deterministic: it returns the same orders for the same snapshots and times.
package roles
