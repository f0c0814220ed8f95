// Package rollout plans which engines load the version of their model that the
// configuration names. It decides anew from the targets' own reports each time,
// so that a successor goes on where a holder stopped.
package rollout
