// Package rig joins the request path to stand-in targets over a network in
// memory, for tests of failures in fake time and for benchmarks.
package rig
