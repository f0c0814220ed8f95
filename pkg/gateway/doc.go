// Package gateway assembles an amaranthplank process for platforms with a store
// that holds all durable state: the hosts keep none themselves and run no consensus
// protocol.
package gateway
