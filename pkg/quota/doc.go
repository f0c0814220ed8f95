// Package quota keeps the requests or tokens of a workspace within one limit for all
// daemons together.
//
// Two hosts are the keepers of a workspace, by rendezvous hashing over the hosts that are
// present. Each keeper has a token bucket with half of the workspace's rate and burst. A
// daemon that receives requests of the workspace is a holder: it requests units from a
// keeper and admits a request only with units that it holds. Units that are not used
// within a lease are void for the holder and go back to the keeper, so that units never
// accumulate at daemons without requests. Within any window the fleet thus admits what
// the buckets can give in that window and in one lease before it.
//
// A small credit for each host lets most short requests run before a keeper has answered.
// Its sum over all hosts is a fixed part of the limit's tolerance.
//
// Table holds both parts of one daemon, Controller applies them to requests, and Exchange
// carries the messages over the links between daemons.
package quota
