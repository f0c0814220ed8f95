// Package rolekeeper keeps the share of a model's engines that compute prompts
// alone, by ordering engines to change their role.
package rolekeeper
