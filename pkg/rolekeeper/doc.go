// Package rolekeeper keeps a fixed share of a model's engines in the prefill role,
// in which they only compute prompts, by ordering engines to change their role.
package rolekeeper
