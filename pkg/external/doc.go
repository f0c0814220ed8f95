// Package external defines the interfaces to the external systems: the key-value
// store, target ordering, usage reports, the weight store and the host list. Each
// is narrow, so that a stand-in can be replaced by an adapter for the real system
// without changing the code that uses it.
//
// Every method may fail with a *fault.Error of kind Unavailable, which means
// that the call had no effect, or Unknown, which means that it may have taken
// effect and only the response was lost.
package external
