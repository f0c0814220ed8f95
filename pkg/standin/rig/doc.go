// Package rig is a test harness that connects the request path of one daemon to
// simulated targets over an in-memory network. It is used by failure tests in
// synctest bubbles and by benchmarks.
package rig
