// Package fleet holds the view of the targets that decisions read: which there
// are, what they last reported, and how old that knowledge is.
package fleet
