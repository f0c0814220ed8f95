// Package fleet provides the view of the targets that decisions are based on:
// which targets exist, what they last reported, and how old that information
// is.
package fleet
