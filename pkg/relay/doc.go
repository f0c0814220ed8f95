// Package relay sends admitted requests to targets and carries the answers
// back.
package relay
