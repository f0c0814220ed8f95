// Package external holds the interfaces to the systems around this one: the
// key-value store, target ordering, usage reports, the weight store and the
// list of hosts. Each is narrow, so that an adapter for the real system can
// take the place of a stand-in without a change to any decision.
//
// Every method may fail with a *fault.Error of kind Unavailable, which says
// that nothing took effect, or Unknown, which says that the effect may have
// taken place and the answer was lost.
package external
