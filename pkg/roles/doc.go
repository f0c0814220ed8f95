// Package roles plans which engines of a model compute prompts, which generate
// answers, and which do both. The planner is pure: it gives the same orders for
// the same snapshots and times.
package roles
