// Package poison detects prompts that crash targets, also called poison requests or
// queries of death: one part of such a prompt ends each target that begins to answer
// it, whatever else the prompt holds.
//
// A daemon reports each end of a target under requests that it had sent there, with
// the hashes of their prompts' parts. The sum of all daemons' reports decides which
// part is suspect. An answer clears the parts of its prompt. Requests with a suspect
// part are refused, for a time that doubles with each further crash.
package poison
