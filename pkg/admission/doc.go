// Package admission decides whether and when a request may be sent to a target.
//
// Queue makes the decisions: rate and concurrency limits per workspace, fair
// ordering among workspaces, priority classes, and early refusal of requests that
// would miss their deadline. It does no I/O and starts no goroutines.
// FairController is a Controller that is backed by a Queue.
package admission
