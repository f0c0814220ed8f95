// Package targetlimit divides the request rate that a target states for all hosts
// together between the daemons.
//
// A target in need states in its answers how many requests a second it takes. The
// daemon that gets such an answer sends the statement to the others, so that also those
// hold back that have had no answer. The rate is divided into a few seats, since a
// request is the least that a daemon can send: with a part of the rate for each of some
// hundred daemons, all could send one at the same time. Rendezvous hashing over the
// hosts of the last ten minutes gives the seats to hosts, without messages. A host with
// a seat sends at equal intervals; the others send the target nothing.
//
// The end is detected from an answer without the statement, by a host with a seat, and
// sent to the others. A host that receives nothing of a target any more takes an equal
// part of the rate, as if every host had a seat, so that some host always sends requests.
package targetlimit
