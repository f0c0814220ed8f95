// Package rolekeeper keeps a share of a model's engines in the prefill role, in which
// they only compute prompts, by ordering engines to change their role. The share is the
// configured one, or less if the answers need more engines.
package rolekeeper
