// Package rollout plans which engines load the model version that the
// configuration names. Every plan is computed from the targets' own reports alone,
// so that a new holder of the duty continues where the previous one stopped.
package rollout
