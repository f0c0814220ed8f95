// Package capacity estimates what each replica of a service takes well now, from its own
// answers.
//
// For each target and incarnation it keeps how many times longer than expected calls take
// there, and the number of requests in flight beyond which more of them lower the target's
// throughput. Daemons exchange summaries of their samples, so that each estimates from the
// samples of all. The design is in docs/design/target-capacity.md.
package capacity
