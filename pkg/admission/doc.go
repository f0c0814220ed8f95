// Package admission decides whether and when a request may go on to a target.
//
// Queue holds the decisions: limits by workspace, fair order among workspaces,
// classes and early refusal. It does no input or output and starts no
// goroutine. Fair is the Controller over it.
package admission
